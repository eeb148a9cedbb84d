"""The promises that a soak checks, from what callers and upstreams saw."""
import collections

import platform_side

# Statuses that promise that the request has not run and never will.
PROMISES_NOT_RUN = (408, 421, 429, 503)
MAX_ATTEMPTS = 2
RETRY_RATIO = 0.2
RETRY_RESERVE = 50


class Audit:
    """Collects broken promises, each a line of text."""

    def __init__(self):
        self.broken = []
        self.asked = {}
        self.runs = collections.Counter()
        self.arrivals = 0
        self.answers = {}
        self.made = {}
        self.served = collections.Counter()

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

    def close(self):
        """The checks that need the whole run."""
        for attempt, status in self.answers.items():
            if status in PROMISES_NOT_RUN and self.asked[attempt][0] == "post" and \
                    self.runs[attempt] > 0:
                self.fault(f"refused: {attempt} has run and was answered {status}")
        repeats = self.arrivals - len([it for it in self.runs.values() if it > 0])
        if repeats > RETRY_RATIO * len(self.asked) + RETRY_RESERVE:
            self.fault(f"budget: {repeats} repeats of {len(self.asked)} requests")
