"""Checks the invariants of a soak run against what callers and upstreams observed."""
import collections
import contextlib
import dataclasses
import time

import operations
import standin_platform

# Statuses that guarantee that the request has not been executed and never will be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
MAX_ATTEMPTS = 2
RETRY_RATIO = 0.2
RETRY_RESERVE = 50
# Limits that the users' platform sets: time to apply an acknowledged configuration, and time to
# contact the store again after a disruption.
CONFIGURATION_APPLY_LIMIT_S = 2.0
STORE_CONTACT_LIMIT_S = 3.0
# Statuses that report that the configuration does not allow the request.
DENIAL_STATUSES = (401, 403, 404)
UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a request ended at a gateway; the status is 0 without a complete response."""
    gateway: str
    attempt: str
    key: str
    route: str
    sent: float
    ended: float
    status: int


@dataclasses.dataclass
class ConfigurationVersion:
    """A configuration with the times when it was sent and acknowledged."""
    configuration: operations.Configuration
    sent: float
    acknowledged: float = float("inf")


@dataclasses.dataclass
class Interval:
    begin: float
    end: float = float("inf")


class Audit:
    """Records the events of a run and collects the violations, each a line of text."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.violations = []
        self.requests = {}
        self.runs = collections.Counter()
        self.total_runs = 0
        self.status_by_attempt = {}
        self.stage_results = {}
        self.response_counts = collections.Counter()
        self.outcomes = []
        # Every gateway starts after the first configuration.
        self.versions = [ConfigurationVersion(operations.Configuration(1), self.clock(),
                                              self.clock())]
        self.disruptions = collections.defaultdict(list)

    def add_violation(self, text):
        self.violations.append(text)

    def record_request(self, attempt, kind, method, target):
        self.requests[attempt] = (kind, method, target)

    def record_run(self, attempt, upstream, method, target, message):
        """Records that an upstream starts to execute a request."""
        request = self.requests.get(attempt)
        if request is None or request[1:] != (method, target):
            self.add_violation(f"unasked: {upstream} runs {attempt} {method} {target}")
            return
        self.total_runs += 1
        self.runs[attempt] += 1
        if message.field("X-Tenant") != standin_platform.WORKSPACE or \
                message.field("Authorization"):
            self.add_violation(f"unasked: {attempt} with workspace {message.field('X-Tenant')!r}")
        if request[0] == "post" and self.runs[attempt] > 1:
            self.add_violation(f"twice: {attempt} at {upstream}")
        if self.runs[attempt] > MAX_ATTEMPTS:
            self.add_violation(f"budget: {attempt} runs {self.runs[attempt]} times")
        if request[0] == "draft":
            inputs = message.field("X-Inputs").split(",")
            self.check_inputs(attempt, inputs, 1, standin_platform.STAGE_COUNTS[1])

    def record_piece(self, entry):
        """Records that an upstream is called to compute a piece of a stage."""
        attempt, stage = entry["id"], entry["stage"]
        if attempt not in self.requests or stage >= len(standin_platform.STAGE_COUNTS) or \
                entry["piece"] >= standin_platform.STAGE_COUNTS[stage]:
            self.add_violation(f"unasked: piece {entry}")
        elif stage == 0 and entry.get("key") != attempt:
            self.add_violation(f"unasked: piece of {attempt} with key {entry.get('key')}")
        elif stage == 1:
            self.check_inputs(attempt, entry.get("inputs", []), 0, standin_platform.STAGE_COUNTS[0])

    def check_inputs(self, attempt, inputs, stage, count):
        valid = len(inputs) == len(set(inputs)) == count and \
            all(self.stage_results.get(it) == (attempt, stage) for it in inputs)
        if not valid:
            self.add_violation(f"mixed: inputs of {attempt} are {inputs}")

    def record_response(self, attempt, kind, status, body, complete):
        """Records a response; it is not `complete` if the connection was lost during it."""
        self.status_by_attempt[attempt] = status
        self.response_counts[(kind, status if complete else "cut")] += 1
        if not complete or not 200 <= status < 300:
            return
        text = body.decode("latin-1")
        if kind in ("stream", "draft"):
            expected = "".join(f"id: {n}\ndata: {attempt}\n\n"
                               for n in range(1, standin_platform.EVENTS + 1))
            if text != expected:
                self.add_violation(f"order: {attempt} ends as complete with {text!r}")
        elif text != f"answer to {attempt}":
            self.add_violation(f"mixed: {attempt} is answered {text!r}")
        if self.runs[attempt] == 0:
            self.add_violation(f"mixed: {attempt} succeeds without a run")

    def configuration_sent(self, configuration):
        self.versions.append(ConfigurationVersion(configuration, self.clock()))

    def configuration_acknowledged(self, configuration):
        version = next(it for it in self.versions if it.configuration is configuration)
        version.acknowledged = self.clock()

    @contextlib.contextmanager
    def disruption(self, *gateways):
        """Marks a time in which the gateways may have no contact with the store."""
        interval = Interval(self.clock())
        for it in gateways:
            self.disruptions[it].append(interval)
        try:
            yield
        finally:
            interval.end = self.clock()

    def effective_time(self, gateway, version):
        """Returns the time from which the gateway must apply this version or a later one: the apply
        limit after the acknowledgement, or the end of the contact limit after disruptions that
        cover that time."""
        effective = version.acknowledged + CONFIGURATION_APPLY_LIMIT_S
        for it in sorted(self.disruptions[gateway], key=lambda interval: interval.begin):
            if it.begin <= effective < it.end + STORE_CONTACT_LIMIT_S:
                effective = it.end + STORE_CONTACT_LIMIT_S
        return effective

    def had_store_contact(self, outcome):
        """Whether no disruption of the gateway overlaps the request or the contact limit
        before it."""
        return not any(it.begin <= outcome.ended and it.end + STORE_CONTACT_LIMIT_S > outcome.sent
                       for it in self.disruptions[outcome.gateway])

    def possible_versions(self, outcome, effective_times):
        """Returns the configurations that the gateway may apply to the request: the newest that is
        effective when it is sent, and all later ones that were sent before its end."""
        first = max((n for n, effective in enumerate(effective_times)
                     if effective <= outcome.sent), default=0)
        return [it.configuration for it in self.versions[first:] if it.sent <= outcome.ended]

    def check_configurations(self):
        effective_times = {}
        for it in self.outcomes:
            if it.gateway not in effective_times:
                effective_times[it.gateway] = [self.effective_time(it.gateway, v)
                                               for v in self.versions]
            self.check_outcome(it, self.possible_versions(it, effective_times[it.gateway]))

    def check_outcome(self, outcome, versions):
        allowed = [it.allows(outcome.key, outcome.route) for it in versions]
        text = f"{outcome.attempt} with {outcome.key} on {outcome.route}, status " \
               f"{outcome.status}, versions {versions[0].version} to {versions[-1].version}"
        if all(allowed) and outcome.status in DENIAL_STATUSES:
            self.add_violation(f"denied: {text}")
        if all(allowed) and outcome.status == UNAVAILABLE and self.had_store_contact(outcome) and \
                standin_platform.is_undisturbed(outcome.route):
            self.add_violation(f"unaccepted: {text}")
        served = 200 <= outcome.status < 300 or self.runs[outcome.attempt] > 0
        if not any(allowed) and served:
            self.add_violation(f"removed: {text}")

    def check_whole_run(self):
        """Runs the checks that need the events of the whole run."""
        self.check_configurations()
        for attempt, status in self.status_by_attempt.items():
            if status in NOT_EXECUTED_STATUSES and self.requests[attempt][0] == "post" and \
                    self.runs[attempt] > 0:
                self.add_violation(f"refused: {attempt} has run and got status {status}")
        extra_runs = self.total_runs - len([it for it in self.runs.values() if it > 0])
        if extra_runs > RETRY_RATIO * len(self.requests) + RETRY_RESERVE:
            self.add_violation(f"budget: {extra_runs} extra runs of {len(self.requests)} requests")
