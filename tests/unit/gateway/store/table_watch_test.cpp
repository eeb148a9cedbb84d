#include "gateway/store/table_watch.h"

#include <thread>

#include <boost/test/unit_test.hpp>

#include "unit/gateway/store/table_watch_fixture.h"

namespace jujubemast::tests {

BOOST_FIXTURE_TEST_SUITE(table_watch_test, table_watch_fixture)

// Guards against a lost call that hides the table's changes for longer than its limit, and against
// a second long poll that could hide the recovery of the store for just as long.
BOOST_AUTO_TEST_CASE(lost_long_poll_is_followed_at_once_by_a_call_that_does_not_wait) {
    respond = respond_to_reads;
    wait_for_calls(4);
    BOOST_TEST(calls[1].target == "/watch/600");
    BOOST_TEST(calls[2].target == "/watch/0");
    BOOST_TEST(calls[3].target == "/watch/0");
    BOOST_TEST((between(1, 2) < wait + response_timeout + slack));
    BOOST_TEST((between(2, 3) >= kept_connection_timeout - milliseconds{1}));
    BOOST_TEST((between(2, 3) < kept_connection_timeout + slack));
    BOOST_REQUIRE(loop.run_until([&] { return !states.empty(); }));
    BOOST_TEST(
        (common::monotonic_clock::now() - calls[2].at >= response_timeout - milliseconds{1}));
    BOOST_TEST((states == std::vector<bool>{false}));
}

// Guards against DRAIN of review 15: a store that responds again was found only when the call that
// it had lost before that ended, and the entries of upstreams that had left were kept for so much
// longer.
BOOST_AUTO_TEST_CASE(store_that_responds_again_while_a_lost_call_hangs_is_found_soon) {
    static constexpr milliseconds long_timeout{5000};
    watch->cancel();
    watch = make_watch(long_timeout);
    watch->begin();
    respond = respond_to_reads;
    const auto is_repeated = [&] { return calls.back().target == "/watch/0"; };
    BOOST_REQUIRE(loop.run_until([&] { return !calls.empty() && is_repeated(); }));
    const auto lost = calls.back().at;
    const auto before = confirmed.size();
    respond = respond_at_once;
    BOOST_REQUIRE(loop.run_until([&] { return confirmed.size() > before; }));
    BOOST_TEST((common::monotonic_clock::now() - lost < long_timeout / 2));
    // The response to the call that was sent before the store responded is not waited for.
    BOOST_TEST(calls.back().target == "/watch/0");
    BOOST_TEST((confirmed.back() >= lost + kept_connection_timeout - milliseconds{1}));
}

// Guards against upstreams that are kept although they have left: a long poll that was lost with
// its connection counted as an outage of the store.
BOOST_AUTO_TEST_CASE(store_that_answers_the_repetition_of_a_lost_call_was_not_unavailable) {
    respond = respond_to_reads;
    wait_for_calls(3);
    BOOST_TEST(calls[2].target == "/watch/0");
    BOOST_TEST((between(1, 2) >= wait + kept_connection_timeout - milliseconds{1}));
    BOOST_TEST((between(1, 2) < wait + response_timeout));
    respond = respond_at_once;
    respond_at_once(calls[2]);
    wait_for_calls(4);
    BOOST_TEST(calls[3].target == "/watch/600");
    BOOST_TEST(states.empty());
}

// Guards against the same for a store that refuses a call because there are too many.
BOOST_AUTO_TEST_CASE(store_that_throttles_calls_is_not_unavailable) {
    respond = [](const store_call& call) {
        call.reply.respond({call.target == "/read" ? 200U : 429U, {}, "rows"});
    };
    wait_for_calls(4);
    BOOST_TEST(states.empty());
    BOOST_TEST((between(2, 3) >= retry_delay - milliseconds{1}));
}

// Guards against rows that are applied as if the store had been available all the time.
BOOST_AUTO_TEST_CASE(end_of_an_outage_is_reported_before_the_rows_that_show_it) {
    wait_for_calls(2);
    BOOST_REQUIRE(loop.run_until([&] { return !confirmed.empty(); }));
    const auto seen = confirmed.back();
    respond = [](const store_call& call) { call.reply.respond({503, {}, ""}); };
    BOOST_REQUIRE(loop.run_until([&] { return !states.empty(); }));
    run_for(2 * retry_delay);
    updates.clear();
    std::size_t states_at_update = 0;
    on_update = [&] { states_at_update = states.size(); };
    stored_version = 5;
    stored_rows = {{"key", "value", 5}};
    respond = respond_at_once;
    BOOST_REQUIRE(loop.run_until([&] { return !updates.empty(); }));
    BOOST_TEST((states == std::vector<bool>{false, true}));
    BOOST_TEST(states_at_update == 2U);
    BOOST_TEST((unseen_times.front() >= 2 * retry_delay));
    BOOST_TEST((unseen_times.front() <= common::monotonic_clock::now() - seen));
}

// Guards against twice the calls to a store that takes long for each.
BOOST_AUTO_TEST_CASE(calls_to_a_slow_store_are_not_repeated) {
    static constexpr auto response_time = kept_connection_timeout + milliseconds{50};
    respond = [this](const store_call& call) {
        if (call.target == "/watch/600") {
            // Lost.
            return;
        }
        delayed.push_back(std::make_unique<runtime::timer>(loop.executor()));
        delayed.back()->start(response_time, [call] { respond_at_once(call); });
    };
    // The first lost poll is repeated and shows how long the store takes.
    BOOST_REQUIRE(loop.run_until([&] {
        return std::count_if(calls.begin(), calls.end(),
                             [](const store_call& it) { return it.target == "/watch/600"; }) == 2;
    }));
    const auto second = calls.back().at;
    const auto n = calls.size();
    wait_for_calls(n + 1);
    BOOST_TEST((calls[n].at - second >= wait + response_timeout - milliseconds{1}));
}

// Guards against a poll so long that an outage in which entries expire passes unseen behind it.
BOOST_AUTO_TEST_CASE(long_poll_is_shorter_than_an_outage_in_which_an_entry_can_expire) {
    for (const auto staleness : {milliseconds{3000}, milliseconds{4000}, milliseconds{60'000}}) {
        for (const auto renewal : {milliseconds{1200}, milliseconds{2000}, milliseconds{5000}}) {
            const auto limits = limits_for_staleness(staleness, renewal);
            BOOST_TEST((limits.batch_interval + limits.wait + limits.kept_connection_timeout <
                        upstream_list::shortest_expiry(renewal)));
            BOOST_TEST((limits.wait + limits.response_timeout < staleness));
        }
    }
}

// Guards against a start that waits for the full timeout of a read that a silent store has lost,
// while the gateway can serve nothing.
BOOST_AUTO_TEST_CASE(lost_first_read_is_repeated_after_a_short_time_that_grows) {
    // The fixture's read has been sent, and its response is not sent any more.
    respond = {};
    watch->cancel();
    calls.clear();
    client->close();
    client = std::make_unique<http::client>(loop.context(client_life), server->address());
    watch = make_watch();
    watch->begin();
    wait_for_calls(4);
    BOOST_TEST((between(0, 1) < 2 * first_read_timeout));
    BOOST_TEST((between(1, 2) >= first_read_timeout * 3 / 2 - milliseconds{1}));
    BOOST_TEST((between(2, 3) >= first_read_timeout * 9 / 4 - milliseconds{1}));
    for (const auto& it : calls) {
        BOOST_TEST(it.target == "/read");
    }
}

// Guards against a large response that never arrives completely over a slow link because every call
// for it is abandoned. The limit of a call covers only the start of its response.
BOOST_AUTO_TEST_CASE(response_that_takes_longer_than_the_limit_but_keeps_arriving_is_read) {
    wait_for_calls(2);
    const auto before = confirmed.size();
    respond = {};
    wait_for_calls(calls.size() + 1);
    const auto slow = calls.back();
    slow.reply.begin({200, {}, {}});
    while (common::monotonic_clock::now() < slow.at + 2 * (wait + response_timeout)) {
        slow.reply.write("a");
        run_for(milliseconds{50});
    }
    const auto n = calls.size();
    slow.reply.end();
    BOOST_REQUIRE(
        loop.run_until([&] { return confirmed.size() > before + 1 || calls.size() > n; }));
    BOOST_TEST((calls[n - 1].at == slow.at));
    BOOST_TEST(states.empty());
}

// Guards against a copy that counts as the newest after its process was paused. A response that
// waited in the socket meanwhile shows only what the store held when it was sent.
BOOST_AUTO_TEST_CASE(response_that_waited_for_a_paused_process_does_not_count_as_new) {
    static constexpr auto pause = 2 * (wait + response_timeout);
    wait_for_calls(2);
    run_for(milliseconds{100});
    respond = [this](const store_call& call) {
        respond_at_once(call);
        // Runs after the response was written and before it is read.
        loop.executor().post([] { std::this_thread::sleep_for(pause); });
        respond = {};
    };
    const auto before = calls.size();
    const auto confirmations = confirmed.size();
    wait_for_calls(before + 2);
    for (auto n = confirmations; n < confirmed.size(); ++n) {
        BOOST_TEST((confirmed[n] <= calls[before].at + wait));
    }
}

// Guards against gateways that do not start, or call the store in a tight loop, if the configured
// staleness limit is very short.
BOOST_AUTO_TEST_CASE(limits_for_a_staleness_below_the_minimum_are_those_of_the_minimum) {
    BOOST_TEST((limits_for_staleness(milliseconds{500}, heartbeat).wait ==
                limits_for_staleness(min_staleness_limit, heartbeat).wait));
    BOOST_TEST(
        (limits_for_staleness(milliseconds{500}, heartbeat).wait > common::duration::zero()));
}

// Guards against calling a store in a tight loop while it refuses calls.
BOOST_AUTO_TEST_CASE(store_that_refuses_is_called_again_after_a_pause) {
    respond = [](const store_call& call) { call.reply.respond({503, {}, ""}); };
    wait_for_calls(5);
    for (std::size_t n = 1; n < 5; ++n) {
        BOOST_TEST((between(n - 1, n) >= retry_delay - milliseconds{1}));
    }
}

// Guards against a tight loop of calls while the store keeps losing its history.
BOOST_AUTO_TEST_CASE(table_whose_history_is_lost_repeatedly_is_read_with_pauses) {
    respond = [](const store_call& call) {
        call.reply.respond({call.target == "/read" ? 200U : 410U, {}, "rows"});
    };
    wait_for_calls(2);
    const auto begin = common::monotonic_clock::now();
    const auto before = calls.size();
    run_for(4 * retry_delay);
    const auto rounds = (common::monotonic_clock::now() - begin) / batch_interval;
    BOOST_TEST(calls.size() - before <= 2U * static_cast<std::size_t>(rounds + 1));
}

// Guards against changes of a restored store that are never read: they have versions that the watch
// has passed already.
BOOST_AUTO_TEST_CASE(watch_whose_store_names_a_later_era_reads_the_whole_table) {
    stored_era = 1;
    stored_version = 20;
    BOOST_REQUIRE(loop.run_until([&] { return confirmed.size() >= 2; }));
    BOOST_TEST((watch->copy().position() == store_position{1, 20}));
    stored_era = 2;
    stored_version = 15;
    stored_rows = {{"key", "value", 12}};
    const auto before = updates.size();
    BOOST_REQUIRE(loop.run_until([&] { return updates.size() > before; }));
    BOOST_TEST(updates.back().complete);
    BOOST_TEST((watch->copy().position() == store_position{2, 15}));
    BOOST_TEST(calls.back().target == "/read");
}

// Guards against a copy that goes back to the state before a restore: a response of the former era
// arrives late.
BOOST_AUTO_TEST_CASE(watch_that_gets_a_response_of_an_earlier_era_ignores_it) {
    stored_era = 3;
    stored_version = 20;
    BOOST_REQUIRE(loop.run_until([&] { return confirmed.size() >= 2; }));
    const auto applied = updates.size();
    const auto confirmations = confirmed.size();
    const auto called = calls.size();
    stored_era = 2;
    stored_version = 30;
    stored_rows = {{"key", "value", 25}};
    wait_for_calls(called + 2);
    BOOST_TEST(updates.size() == applied);
    BOOST_TEST(confirmed.size() == confirmations);
    BOOST_TEST((watch->copy().position() == store_position{3, 20}));
}

// Guards against a store whose software names no era: its responses belong to the known one.
BOOST_AUTO_TEST_CASE(watch_whose_store_stops_naming_its_era_goes_on) {
    stored_era = 1;
    stored_version = 20;
    BOOST_REQUIRE(loop.run_until([&] { return confirmed.size() >= 2; }));
    stored_era.reset();
    stored_version = 21;
    BOOST_REQUIRE(loop.run_until([&] {
        return watch->copy().position() == store_position{1, 21};
    }));
    BOOST_TEST((eras == std::vector<std::uint64_t>{1}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
