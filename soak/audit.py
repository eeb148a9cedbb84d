"""The promises that a soak checks, from what callers and upstreams saw."""
import collections
import contextlib
import dataclasses
import time

import operations
import platform_side

# Statuses that promise that the request has not run and never will.
PROMISES_NOT_RUN = (408, 421, 429, 503)
MAX_ATTEMPTS = 2
RETRY_RATIO = 0.2
RETRY_RESERVE = 50
# Bounds of the users' platform.
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
# Statuses that say that the configuration does not allow the request.
DENIALS = (401, 403, 404)
UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a request with this key and route ended at a gateway; status 0 without a whole answer."""
    gateway: str
    attempt: str
    key: str
    route: str
    sent: float
    ended: float
    status: int


@dataclasses.dataclass
class Version:
    """A configuration with the times of its sending and its acknowledgement."""
    configuration: operations.Configuration
    sent: float
    acknowledged: float = float("inf")


@dataclasses.dataclass
class Span:
    begin: float
    end: float = float("inf")


class Audit:
    """Collects broken promises, each a line of text."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.broken = []
        self.asked = {}
        self.runs = collections.Counter()
        self.arrivals = 0
        self.answers = {}
        self.made = {}
        self.served = collections.Counter()
        self.outcomes = []
        # Every gateway starts after the first configuration.
        self.versions = [Version(operations.Configuration(1), self.clock(), self.clock())]
        self.troubles = collections.defaultdict(list)

    def fault(self, text):
        self.broken.append(text)

    def ask(self, attempt, kind, method, target):
        self.asked[attempt] = (kind, method, target)

    def ran(self, attempt, upstream, method, target, message):
        """An upstream begins to work on a request."""
        known = self.asked.get(attempt)
        if known is None or known[1:] != (method, target):
            self.fault(f"unasked: {upstream} runs {attempt} {method} {target}")
            return
        self.arrivals += 1
        self.runs[attempt] += 1
        if message.field("X-Tenant") != platform_side.WORKSPACE or message.field("Authorization"):
            self.fault(f"unasked: {attempt} with workspace {message.field('X-Tenant')!r}")
        if known[0] == "post" and self.runs[attempt] > 1:
            self.fault(f"twice: {attempt} at {upstream}")
        if self.runs[attempt] > MAX_ATTEMPTS:
            self.fault(f"budget: {attempt} runs {self.runs[attempt]} times")
        if known[0] == "draft":
            inputs = message.field("X-Inputs").split(",")
            self.check_inputs(attempt, inputs, 1, platform_side.STAGE_COUNTS[1])

    def piece(self, entry):
        """An upstream is asked to make a piece."""
        attempt, stage = entry["id"], entry["stage"]
        if attempt not in self.asked or stage >= len(platform_side.STAGE_COUNTS) or \
                entry["piece"] >= platform_side.STAGE_COUNTS[stage]:
            self.fault(f"unasked: piece {entry}")
        elif stage == 0 and entry.get("key") != attempt:
            self.fault(f"unasked: piece of {attempt} with key {entry.get('key')}")
        elif stage == 1:
            self.check_inputs(attempt, entry.get("inputs", []), 0, platform_side.STAGE_COUNTS[0])

    def check_inputs(self, attempt, inputs, stage, count):
        right = len(inputs) == len(set(inputs)) == count and \
            all(self.made.get(it) == (attempt, stage) for it in inputs)
        if not right:
            self.fault(f"mixed: inputs of {attempt} are {inputs}")

    def answered(self, attempt, kind, status, body, whole):
        """A caller got an answer; `whole` unless the connection broke off in it."""
        self.answers[attempt] = status
        self.served[(kind, status if whole else "cut")] += 1
        if not whole or not 200 <= status < 300:
            return
        text = body.decode("latin-1")
        if kind in ("stream", "draft"):
            expected = "".join(f"id: {n}\ndata: {attempt}\n\n"
                               for n in range(1, platform_side.EVENTS + 1))
            if text != expected:
                self.fault(f"order: {attempt} ends as complete with {text!r}")
        elif text != f"answer to {attempt}":
            self.fault(f"mixed: {attempt} is answered {text!r}")
        if self.runs[attempt] == 0:
            self.fault(f"mixed: {attempt} succeeds without a run")

    def configuration_sent(self, configuration):
        self.versions.append(Version(configuration, self.clock()))

    def configuration_acknowledged(self, configuration):
        version = next(it for it in self.versions if it.configuration is configuration)
        version.acknowledged = self.clock()

    @contextlib.contextmanager
    def trouble(self, *gateways):
        """While it lasts, the gateways may be out of touch with the store."""
        span = Span(self.clock())
        for it in gateways:
            self.troubles[it].append(span)
        try:
            yield
        finally:
            span.end = self.clock()

    def due(self, gateway, version):
        """The time from which the gateway acts by this version or a later one: the bound after
        its acknowledgement, or the first moment after it at which the gateway is in touch."""
        due = version.acknowledged + CONFIG_APPLY_S
        for it in sorted(self.troubles[gateway], key=lambda span: span.begin):
            if it.begin <= due < it.end + CONTACT_S:
                due = it.end + CONTACT_S
        return due

    def in_touch(self, outcome):
        """No trouble of the gateway in the bound before the request, nor up to its end."""
        return not any(it.begin <= outcome.ended and it.end + CONTACT_S > outcome.sent
                       for it in self.troubles[outcome.gateway])

    def possible_versions(self, outcome, due_times):
        """The configurations that may decide this request: the newest that is due as it is sent,
        and all later ones that were sent before its end."""
        first = max((n for n, due in enumerate(due_times) if due <= outcome.sent), default=0)
        return [it.configuration for it in self.versions[first:] if it.sent <= outcome.ended]

    def check_configurations(self):
        due_times = {}
        for it in self.outcomes:
            if it.gateway not in due_times:
                due_times[it.gateway] = [self.due(it.gateway, v) for v in self.versions]
            self.check_outcome(it, self.possible_versions(it, due_times[it.gateway]))

    def check_outcome(self, outcome, versions):
        allowed = [it.allows(outcome.key, outcome.route) for it in versions]
        text = f"{outcome.attempt} with {outcome.key} on {outcome.route}, status " \
               f"{outcome.status}, versions {versions[0].version} to {versions[-1].version}"
        if all(allowed) and outcome.status in DENIALS:
            self.fault(f"denied: {text}")
        if all(allowed) and outcome.status == UNAVAILABLE and self.in_touch(outcome) and \
                platform_side.is_calm(outcome.route):
            self.fault(f"unaccepted: {text}")
        served = 200 <= outcome.status < 300 or self.runs[outcome.attempt] > 0
        if not any(allowed) and served:
            self.fault(f"removed: {text}")

    def close(self):
        """The checks that need the whole run."""
        self.check_configurations()
        for attempt, status in self.answers.items():
            if status in PROMISES_NOT_RUN and self.asked[attempt][0] == "post" and \
                    self.runs[attempt] > 0:
                self.fault(f"refused: {attempt} has run and was answered {status}")
        repeats = self.arrivals - len([it for it in self.runs.values() if it > 0])
        if repeats > RETRY_RATIO * len(self.asked) + RETRY_RESERVE:
            self.fault(f"budget: {repeats} repeats of {len(self.asked)} requests")
