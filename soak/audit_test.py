#!/usr/bin/env python3
"""Shows that each check of the audit finds the fault that it stands for."""
import asyncio
import pathlib
import random
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import audit  # noqa: E402
import operations  # noqa: E402
import platform_side  # noqa: E402
import proxy  # noqa: E402
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

    def trouble(self, begin, end, *gateways):
        self.now = begin
        with self.audit.trouble(*gateways):
            self.now = end

    def end(self, sent, status, key="key-2", route="extra2", gateway="g0"):
        self.audit.outcomes.append(
            audit.Outcome(gateway, f"a{sent}", key, route, sent, sent + 0.01, status))

    def expect(self, *names):
        self.audit.close()
        self.assertEqual([text.split(":")[0] for text in self.audit.broken], list(names))

    def test_denials_and_runs_within_the_bound_break_nothing(self):
        self.end(9.0, 401)
        self.end(11.9, 401)
        self.end(11.9, 404)
        self.end(12.1, 200)
        self.end(41.9, 200)
        self.end(42.1, 404)
        self.end(42.1, 401)
        self.expect()

    def test_denial_after_the_bound_is_found(self):
        for status in audit.DENIALS:
            self.end(12.1, status)
        self.expect("denied", "denied", "denied")

    def test_denial_of_a_new_key_alone_or_a_new_route_alone_is_found(self):
        self.end(12.1, 401, route="steady")
        self.end(12.1, 404, key=platform_side.KEY)
        self.expect("denied", "denied")

    def test_trouble_delays_the_bound_of_its_gateway_only(self):
        self.trouble(5.0, 13.0, "g0", "g1")
        self.end(15.9, 401, gateway="g0")
        self.end(15.9, 401, gateway="g2")
        self.expect("denied")

    def test_denial_later_than_the_contact_bound_after_trouble_is_found(self):
        self.trouble(5.0, 13.0, "g0")
        self.end(16.1, 401)
        self.expect("denied")

    def test_bounds_of_trouble_and_acknowledgement_do_not_add_up(self):
        self.trouble(5.0, 9.5, "g0")
        self.end(12.6, 401)
        self.expect("denied")

    def test_troubles_without_time_in_touch_between_them_count_as_one(self):
        self.trouble(11.0, 13.0, "g0")
        self.trouble(15.0, 17.0, "g0")
        self.end(19.9, 401)
        self.end(20.1, 401)
        self.expect("denied")

    def test_new_trouble_does_not_excuse_a_version_that_was_in_force(self):
        self.trouble(20.0, 28.0, "g0")
        self.end(24.0, 401)
        self.expect("denied")

    def test_denial_of_what_all_configurations_allow_is_found_also_in_trouble(self):
        self.trouble(0.0, 60.0, "g0")
        self.end(1.0, 401, key=platform_side.KEY, route="post")
        self.end(30.0, 404, key=platform_side.KEY, route="steady")
        self.end(31.0, 503, key=platform_side.KEY, route="steady")
        self.expect("denied", "denied")

    def test_answer_on_a_removed_route_or_with_a_removed_key_is_found(self):
        self.end(42.1, 200, route="steady")
        self.end(42.1, 200, key=platform_side.KEY)
        self.expect("removed", "removed")

    def test_run_with_a_removed_key_is_found_whatever_the_answer(self):
        self.audit.runs["a42.1"] = 1
        self.end(42.1, 502)
        self.expect("removed")

    def test_key_that_no_configuration_has_is_not_served(self):
        self.end(20.0, 200, key="other")
        self.expect("removed")

    def test_removed_route_may_run_until_the_contact_bound_after_trouble(self):
        self.trouble(39.0, 45.0, "g0")
        self.end(47.9, 200)
        self.end(48.1, 200)
        self.expect("removed")

    def test_refusal_of_what_is_in_force_is_found_only_in_touch(self):
        self.trouble(20.0, 21.0, "g0")
        self.end(19.0, 503)
        self.end(20.5, 503)
        self.end(23.9, 503)
        self.end(24.1, 503)
        self.expect("unaccepted", "unaccepted")

    def test_refusal_on_a_route_with_disturbed_upstreams_breaks_nothing(self):
        self.end(19.0, 503, key=platform_side.KEY, route="read")
        self.expect()

    def test_outcome_of_a_request_beside_a_change_may_follow_either_version(self):
        self.audit.outcomes.append(
            audit.Outcome("g0", "a", "key-2", "extra2", 39.9, 40.1, 401))
        self.audit.outcomes.append(
            audit.Outcome("g0", "b", "key-2", "extra2", 39.9, 40.1, 200))
        self.expect()


# Longer than any call of the cases waits.
GIVE_UP_S = 2.0


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """The store of the soak waits and loses calls as the platform's does."""

    async def asyncSetUp(self):
        self.store = platform_side.Store(random.Random(1))
        self.address = await self.store.listen("g0")

    async def asyncTearDown(self):
        await self.store.close()
        # The connections end with the calls.
        await asyncio.sleep(0.05)

    async def until(self, condition):
        """The limit of the test run bounds the wait."""
        while not condition():
            await asyncio.sleep(0.01)

    async def follow(self, wait_ms, address=None):
        """Calls for changes; returns the head of the answer and the time that it took."""
        host, port = (address or self.address).rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        begin = time.monotonic()
        after = self.store.version
        writer.write(wire.encode(
            f"GET /rows-feed?table=op&after={after}&wait_ms={wait_ms} HTTP/1.1", {}))
        try:
            head = await asyncio.wait_for(wire.read_head(reader), GIVE_UP_S)
        except asyncio.TimeoutError:
            head = None
        writer.close()
        return head, time.monotonic() - begin

    async def test_call_for_changes_waits_as_long_as_it_asks(self):
        for wait_ms in (0, 300, 1200):
            head, took = await self.follow(wait_ms)
            self.assertIsNotNone(head)
            self.assertGreaterEqual(took, wait_ms / 1000)

    async def test_call_that_waits_as_a_silence_begins_is_lost_also_after_its_end(self):
        call = asyncio.create_task(self.follow(5000))
        await self.until(lambda: self.store.calls["g0"] > 0)
        self.store.set_conduct("g0", platform_side.StoreConduct.SILENT)
        self.store.set_conduct("g0", platform_side.StoreConduct.GOOD)
        await self.store.put("op", "config", {})
        self.assertIsNone((await call)[0])

    async def test_call_within_a_silence_is_lost_and_the_next_connection_served(self):
        self.store.set_conduct("g0", platform_side.StoreConduct.SILENT)
        call = asyncio.create_task(self.follow(0))
        await self.until(lambda: self.store.lost_calls["g0"] > 0)
        self.store.set_conduct("g0", platform_side.StoreConduct.GOOD)
        self.assertIsNotNone((await self.follow(0))[0])
        self.assertIsNone((await call)[0])

    async def test_silence_to_one_gateway_spares_the_others(self):
        other = await self.store.listen("g1")
        self.store.set_conduct("g0", platform_side.StoreConduct.SILENT)
        self.assertIsNotNone((await self.follow(0, other))[0])

    async def test_link_that_was_silent_stays_silent_on_its_open_connections(self):
        link = proxy.Proxy()
        address = await link.listen(self.address)
        self.addCleanup(link.close)
        link.mode = proxy.Mode.SILENCE
        call = asyncio.create_task(self.follow(0, address))
        await self.until(lambda: link.lost_bytes > 0)
        link.mode = proxy.Mode.PASS
        self.assertIsNotNone((await self.follow(0, address))[0])
        self.assertIsNone((await call)[0])


if __name__ == "__main__":
    unittest.main()
