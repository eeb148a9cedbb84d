#!/usr/bin/env python3
"""Shows that each check of the audit finds the fault that it stands for."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import audit  # noqa: E402
import platform_side  # noqa: E402
import wire  # noqa: E402


def forwarded(**fields):
    named = {"x-tenant": platform_side.WORKSPACE}
    named.update({name.replace("_", "-").lower(): value for name, value in fields.items()})
    return wire.Message("", named)


class AuditTest(unittest.TestCase):
    def setUp(self):
        self.audit = audit.Audit()
        for kind in ("post", "read", "stream", "draft"):
            self.audit.ask(kind, kind, "POST", f"/{kind}")

    def run_one(self, attempt, **fields):
        self.audit.ran(attempt, "u", "POST", f"/{attempt}", forwarded(**fields))

    def expect(self, *names):
        self.audit.close()
        self.assertEqual([text.split(":")[0] for text in self.audit.broken], list(names))

    def events(self, count):
        return "".join(f"id: {n}\ndata: stream\n\n" for n in range(1, count + 1)).encode()

    def test_right_answers_break_nothing(self):
        self.run_one("post")
        self.audit.answered("post", "post", 200, b"answer to post", True)
        self.run_one("stream")
        self.audit.answered("stream", "stream", 200, self.events(platform_side.EVENTS), True)
        self.audit.made["h"] = ("draft", 0)
        self.audit.piece({"id": "draft", "stage": 1, "piece": 0, "inputs": ["h"]})
        self.expect()

    def test_second_run_of_an_unsafe_request_is_found(self):
        self.run_one("post")
        self.run_one("post")
        self.expect("twice")

    def test_third_run_of_any_request_is_found(self):
        for _ in range(3):
            self.run_one("read")
        self.expect("budget")

    def test_run_that_nobody_asked_for_is_found(self):
        self.run_one("other")
        self.audit.ran("post", "u", "POST", "/changed", forwarded())
        self.expect("unasked", "unasked")

    def test_key_or_wrong_workspace_at_an_upstream_is_found(self):
        self.run_one("read", Authorization="Bearer key")
        self.run_one("post", X_Tenant="other")
        self.expect("unasked", "unasked")

    def test_refusal_of_a_request_that_ran_is_found(self):
        self.run_one("post")
        self.audit.answered("post", "post", 503, b"", True)
        self.expect("refused")

    def test_answer_of_another_request_is_found(self):
        self.run_one("read")
        self.audit.answered("read", "read", 200, b"answer to post", True)
        self.expect("mixed")

    def test_success_without_a_run_is_found(self):
        self.audit.answered("read", "read", 200, b"answer to read", True)
        self.expect("mixed")

    def test_short_or_doubled_stream_that_ends_as_complete_is_found(self):
        self.run_one("stream")
        self.audit.answered("stream", "stream", 200, self.events(platform_side.EVENTS - 1), True)
        self.audit.answered("stream", "stream", 200,
                            self.events(2) + self.events(platform_side.EVENTS), True)
        self.expect("order", "order")

    def test_cut_stream_breaks_nothing(self):
        self.run_one("stream")
        self.audit.answered("stream", "stream", 200, self.events(2), False)
        self.expect()

    def test_inputs_that_are_missing_foreign_or_doubled_are_found(self):
        self.audit.made.update({f"h{n}": ("draft", 1) for n in range(3)}, foreign=("other", 1))
        for inputs in ("h0,h1", "h0,h1,foreign", "h0,h1,h1"):
            self.audit.runs.clear()
            self.run_one("draft", X_Inputs=inputs)
        self.expect("mixed", "mixed", "mixed")

    def test_piece_that_nobody_needs_is_found(self):
        self.audit.piece({"id": "draft", "stage": 0, "piece": 7, "key": "draft"})
        self.audit.piece({"id": "draft", "stage": 0, "piece": 0, "key": "other"})
        self.expect("unasked", "unasked")

    def test_more_repeats_than_the_budget_allows_are_found(self):
        for n in range(100):
            self.audit.ask(f"r{n}", "read", "POST", f"/r{n}")
            self.run_one(f"r{n}")
            self.run_one(f"r{n}")
        self.expect("budget")


if __name__ == "__main__":
    unittest.main()
