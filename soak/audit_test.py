#!/usr/bin/env python3
"""Tests that each check of the audit reports the violation that it is meant to find."""
import asyncio
import pathlib
import random
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import audit  # noqa: E402
import operations  # noqa: E402
import standin_platform  # noqa: E402
import proxy  # noqa: E402
import wire  # noqa: E402


def forwarded_request(**fields):
    named = {"x-tenant": standin_platform.WORKSPACE}
    named.update({name.replace("_", "-").lower(): value for name, value in fields.items()})
    return wire.Message("", named)


class AuditTest(unittest.TestCase):
    def setUp(self):
        self.audit = audit.Audit()
        for kind in ("post", "read", "stream", "draft"):
            self.audit.record_request(kind, kind, "POST", f"/{kind}")

    def record_run(self, attempt, **fields):
        self.audit.record_run(attempt, "u", "POST", f"/{attempt}", forwarded_request(**fields))

    def assert_violations(self, *names):
        self.audit.check_whole_run()
        self.assertEqual([text.split(":")[0] for text in self.audit.violations], list(names))

    def events(self, count):
        return "".join(f"id: {n}\ndata: stream\n\n" for n in range(1, count + 1)).encode()

    def test_correct_responses_cause_no_violation(self):
        self.record_run("post")
        self.audit.record_response("post", "post", 200, b"answer to post", True)
        self.record_run("stream")
        self.audit.record_response("stream", "stream", 200,
                                   self.events(standin_platform.EVENTS), True)
        self.audit.stage_results["h"] = ("draft", 0)
        self.audit.record_piece({"id": "draft", "stage": 1, "piece": 0, "inputs": ["h"]})
        self.assert_violations()

    def test_second_run_of_an_unsafe_request_is_found(self):
        self.record_run("post")
        self.record_run("post")
        self.assert_violations("twice")

    def test_third_run_of_any_request_is_found(self):
        for _ in range(3):
            self.record_run("read")
        self.assert_violations("budget")

    def test_run_without_a_request_is_found(self):
        self.record_run("other")
        self.audit.record_run("post", "u", "POST", "/changed", forwarded_request())
        self.assert_violations("unasked", "unasked")

    def test_forwarded_key_or_wrong_workspace_is_found(self):
        self.record_run("read", Authorization="Bearer key")
        self.record_run("post", X_Tenant="other")
        self.assert_violations("unasked", "unasked")

    def test_refusal_of_an_executed_request_is_found(self):
        self.record_run("post")
        self.audit.record_response("post", "post", 503, b"", True)
        self.assert_violations("refused")

    def test_response_of_another_request_is_found(self):
        self.record_run("read")
        self.audit.record_response("read", "read", 200, b"answer to post", True)
        self.assert_violations("mixed")

    def test_success_without_a_run_is_found(self):
        self.audit.record_response("read", "read", 200, b"answer to read", True)
        self.assert_violations("mixed")

    def test_stream_that_ends_with_missing_or_duplicate_events_is_found(self):
        self.record_run("stream")
        self.audit.record_response("stream", "stream", 200,
                                   self.events(standin_platform.EVENTS - 1), True)
        self.audit.record_response("stream", "stream", 200,
                                   self.events(2) + self.events(standin_platform.EVENTS), True)
        self.assert_violations("order", "order")

    def test_cut_stream_causes_no_violation(self):
        self.record_run("stream")
        self.audit.record_response("stream", "stream", 200, self.events(2), False)
        self.assert_violations()

    def test_missing_foreign_or_duplicate_inputs_are_found(self):
        self.audit.stage_results.update({f"h{n}": ("draft", 1) for n in range(3)},
                                        foreign=("other", 1))
        for inputs in ("h0,h1", "h0,h1,foreign", "h0,h1,h1"):
            self.audit.runs.clear()
            self.record_run("draft", X_Inputs=inputs)
        self.assert_violations("mixed", "mixed", "mixed")

    def test_piece_that_is_not_part_of_a_request_is_found(self):
        self.audit.record_piece({"id": "draft", "stage": 0, "piece": 7, "key": "draft"})
        self.audit.record_piece({"id": "draft", "stage": 0, "piece": 0, "key": "other"})
        self.assert_violations("unasked", "unasked")

    def test_retries_beyond_the_budget_are_found(self):
        for n in range(100):
            self.audit.record_request(f"r{n}", "read", "POST", f"/r{n}")
            self.record_run(f"r{n}")
            self.record_run(f"r{n}")
        self.assert_violations("budget")


class ConfigurationAuditTest(unittest.TestCase):
    """Version 2 adds a key and a route at 10 s, version 3 removes them at 40 s."""

    ADDED = operations.Configuration(2, ("key-2",), ("extra2",))
    REMOVED = operations.Configuration(3)

    def setUp(self):
        self.now = 0.0
        self.audit = audit.Audit(lambda: self.now)
        for at, configuration in ((10.0, self.ADDED), (40.0, self.REMOVED)):
            self.now = at
            self.audit.configuration_sent(configuration)
            self.audit.configuration_acknowledged(configuration)

    def disruption(self, begin, end, *gateways):
        self.now = begin
        with self.audit.disruption(*gateways):
            self.now = end

    def add_outcome(self, sent, status, key="key-2", route="extra2", gateway="g0"):
        self.audit.outcomes.append(
            audit.Outcome(gateway, f"a{sent}", key, route, sent, sent + 0.01, status))

    def assert_violations(self, *names):
        self.audit.check_whole_run()
        self.assertEqual([text.split(":")[0] for text in self.audit.violations], list(names))

    def test_denials_and_runs_within_the_apply_limit_cause_no_violation(self):
        self.add_outcome(9.0, 401)
        self.add_outcome(11.9, 401)
        self.add_outcome(11.9, 404)
        self.add_outcome(12.1, 200)
        self.add_outcome(41.9, 200)
        self.add_outcome(42.1, 404)
        self.add_outcome(42.1, 401)
        self.assert_violations()

    def test_denial_after_the_apply_limit_is_found(self):
        for status in audit.DENIAL_STATUSES:
            self.add_outcome(12.1, status)
        self.assert_violations("denied", "denied", "denied")

    def test_denial_of_a_new_key_alone_or_a_new_route_alone_is_found(self):
        self.add_outcome(12.1, 401, route="steady")
        self.add_outcome(12.1, 404, key=standin_platform.KEY)
        self.assert_violations("denied", "denied")

    def test_disruption_extends_the_apply_limit_of_its_gateway_only(self):
        self.disruption(5.0, 13.0, "g0", "g1")
        self.add_outcome(15.9, 401, gateway="g0")
        self.add_outcome(15.9, 401, gateway="g2")
        self.assert_violations("denied")

    def test_denial_after_disruption_and_contact_limit_is_found(self):
        self.disruption(5.0, 13.0, "g0")
        self.add_outcome(16.1, 401)
        self.assert_violations("denied")

    def test_contact_limit_and_apply_limit_do_not_add_up(self):
        self.disruption(5.0, 9.5, "g0")
        self.add_outcome(12.6, 401)
        self.assert_violations("denied")

    def test_disruptions_within_the_contact_limit_count_as_one(self):
        self.disruption(11.0, 13.0, "g0")
        self.disruption(15.0, 17.0, "g0")
        self.add_outcome(19.9, 401)
        self.add_outcome(20.1, 401)
        self.assert_violations("denied")

    def test_disruption_does_not_excuse_denial_under_an_applied_version(self):
        self.disruption(20.0, 28.0, "g0")
        self.add_outcome(24.0, 401)
        self.assert_violations("denied")

    def test_denial_of_what_all_configurations_allow_is_found_during_disruption(self):
        self.disruption(0.0, 60.0, "g0")
        self.add_outcome(1.0, 401, key=standin_platform.KEY, route="post")
        self.add_outcome(30.0, 404, key=standin_platform.KEY, route="steady")
        self.add_outcome(31.0, 503, key=standin_platform.KEY, route="steady")
        self.assert_violations("denied", "denied")

    def test_success_on_a_removed_route_or_with_a_removed_key_is_found(self):
        self.add_outcome(42.1, 200, route="steady")
        self.add_outcome(42.1, 200, key=standin_platform.KEY)
        self.assert_violations("removed", "removed")

    def test_run_with_a_removed_key_is_found_with_any_status(self):
        self.audit.runs["a42.1"] = 1
        self.add_outcome(42.1, 502)
        self.assert_violations("removed")

    def test_success_with_an_unknown_key_is_found(self):
        self.add_outcome(20.0, 200, key="other")
        self.assert_violations("removed")

    def test_removed_route_may_be_served_until_the_contact_limit_after_disruption(self):
        self.disruption(39.0, 45.0, "g0")
        self.add_outcome(47.9, 200)
        self.add_outcome(48.1, 200)
        self.assert_violations("removed")

    def test_refusal_of_allowed_request_is_found_only_with_store_contact(self):
        self.disruption(20.0, 21.0, "g0")
        self.add_outcome(19.0, 503)
        self.add_outcome(20.5, 503)
        self.add_outcome(23.9, 503)
        self.add_outcome(24.1, 503)
        self.assert_violations("unaccepted", "unaccepted")

    def test_refusal_on_a_route_with_disturbed_upstreams_causes_no_violation(self):
        self.add_outcome(19.0, 503, key=standin_platform.KEY, route="read")
        self.assert_violations()

    def test_request_during_a_change_may_be_decided_by_either_version(self):
        self.audit.outcomes.append(
            audit.Outcome("g0", "a", "key-2", "extra2", 39.9, 40.1, 401))
        self.audit.outcomes.append(
            audit.Outcome("g0", "b", "key-2", "extra2", 39.9, 40.1, 200))
        self.assert_violations()


# Longer than any call of these tests waits for a response.
CALL_TIMEOUT_S = 2.0


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """The stand-in store holds long polls and drops calls as the platform's store does."""

    async def asyncSetUp(self):
        self.store = standin_platform.Store(random.Random(1))
        self.address = await self.store.listen("g0")

    async def asyncTearDown(self):
        await self.store.close()
        # Gives the tasks of the connections time to end.
        await asyncio.sleep(0.05)

    async def wait_for(self, condition):
        """Polls without a limit of its own; the timeout of the test run bounds it."""
        while not condition():
            await asyncio.sleep(0.01)

    async def poll_changes(self, wait_ms, address=None):
        """Polls for changes; returns the head of the response, or None, and the elapsed time."""
        host, port = (address or self.address).rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        begin = time.monotonic()
        after = self.store.version
        writer.write(wire.encode(
            f"GET /rows-feed?table=op&after={after}&wait_ms={wait_ms} HTTP/1.1", {}))
        try:
            head = await asyncio.wait_for(wire.read_head(reader), CALL_TIMEOUT_S)
        except asyncio.TimeoutError:
            head = None
        writer.close()
        return head, time.monotonic() - begin

    async def test_poll_without_changes_returns_after_its_wait_time(self):
        for wait_ms in (0, 300, 1200):
            head, took = await self.poll_changes(wait_ms)
            self.assertIsNotNone(head)
            self.assertGreaterEqual(took, wait_ms / 1000)

    async def test_poll_that_waits_when_a_silence_begins_gets_no_response_after_it(self):
        call = asyncio.create_task(self.poll_changes(5000))
        await self.wait_for(lambda: self.store.calls["g0"] > 0)
        self.store.set_behavior("g0", standin_platform.StoreBehavior.SILENT)
        self.store.set_behavior("g0", standin_platform.StoreBehavior.NORMAL)
        await self.store.put("op", "config", {})
        self.assertIsNone((await call)[0])

    async def test_call_during_a_silence_gets_no_response_and_the_next_connection_is_served(self):
        self.store.set_behavior("g0", standin_platform.StoreBehavior.SILENT)
        call = asyncio.create_task(self.poll_changes(0))
        await self.wait_for(lambda: self.store.dropped_calls["g0"] > 0)
        self.store.set_behavior("g0", standin_platform.StoreBehavior.NORMAL)
        self.assertIsNotNone((await self.poll_changes(0))[0])
        self.assertIsNone((await call)[0])

    async def test_silence_to_one_gateway_does_not_affect_the_others(self):
        other = await self.store.listen("g1")
        self.store.set_behavior("g0", standin_platform.StoreBehavior.SILENT)
        self.assertIsNotNone((await self.poll_changes(0, other))[0])

    async def test_connection_opened_during_link_silence_stays_silent_after_it(self):
        link = proxy.Proxy()
        address = await link.listen(self.address)
        self.addCleanup(link.close)
        link.mode = proxy.Mode.SILENCE
        call = asyncio.create_task(self.poll_changes(0, address))
        await self.wait_for(lambda: link.dropped_bytes > 0)
        link.mode = proxy.Mode.PASS
        self.assertIsNotNone((await self.poll_changes(0, address))[0])
        self.assertIsNone((await call)[0])


if __name__ == "__main__":
    unittest.main()
