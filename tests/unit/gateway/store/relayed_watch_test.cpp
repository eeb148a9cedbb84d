#include <boost/test/unit_test.hpp>

#include "unit/gateway/store/table_watch_fixture.h"

namespace jujubemast::tests {

/// A watch whose table has been read at version 10, and another gateway that passes changes on.
struct relayed_watch_fixture : table_watch_fixture {
    relayed_watch_fixture() {
        stored_version = 10;
        BOOST_REQUIRE(loop.run_until([&] { return !confirmed.empty(); }));
        watch->set_source(watch_source::others);
        // The long poll that was in progress.
        BOOST_REQUIRE(loop.run_until([&] { return confirmed.size() >= 2; }));
        calls.clear();
        updates.clear();
    }

    /// Passes changes on that were confirmed with the store just now.
    void relay(std::uint64_t since, std::uint64_t version, std::vector<store_row> rows = {}) {
        const auto now = common::monotonic_clock::now();
        watch->changes_relayed({store_table::configuration,
                                {0, since},
                                {0, version},
                                watch->copy().digest(),
                                std::move(rows)},
                               now);
    }
};

BOOST_FIXTURE_TEST_SUITE(relayed_watch_test, relayed_watch_fixture)

// Guards against calls to the store that grow with the number of gateways.
BOOST_AUTO_TEST_CASE(relayed_watch_that_hears_others_does_not_call_the_store) {
    for (std::uint64_t version = 10; version < 20; ++version) {
        relay(version, version + 1, {{"key", "value", version + 1}});
        run_for(max_relayed_age / 3);
    }
    BOOST_TEST(calls.empty());
    BOOST_TEST(updates.size() == 10U);
    BOOST_TEST(watch->copy().position().version == 20U);
}

// Guards against changes that stay unseen because the gateways that follow the store have failed.
BOOST_AUTO_TEST_CASE(relayed_watch_after_silence_asks_the_store_without_waiting) {
    relay(10, 11);
    const auto last = common::monotonic_clock::now();
    wait_for_calls(1);
    BOOST_TEST(calls[0].target == "/watch/0");
    BOOST_TEST((calls[0].at - last >= max_relayed_age - milliseconds{1}));
    BOOST_TEST((calls[0].at - last < max_relayed_age + slack));
}

// Guards against a copy that counts as fresh although those who pass changes on are cut off from
// the store.
BOOST_AUTO_TEST_CASE(relayed_watch_whose_source_has_an_old_copy_asks_the_store) {
    const auto confirmed_at = common::monotonic_clock::now();
    while (calls.empty() &&
           common::monotonic_clock::now() < confirmed_at + max_relayed_age + slack) {
        watch->changes_relayed(
            {store_table::configuration, {0, 10}, {0, 10}, watch->copy().digest(), {}},
            confirmed_at);
        run_for(max_relayed_age / 8);
    }
    BOOST_REQUIRE(!calls.empty());
    BOOST_TEST((calls[0].at - confirmed_at >= max_relayed_age - milliseconds{1}));
}

// Guards against calls to a silent store that grow with the number of gateways: only those that
// others rely on send a lost call again while it hangs.
BOOST_AUTO_TEST_CASE(relayed_watch_whose_calls_are_lost_waits_for_their_end) {
    respond = {};
    wait_for_calls(3);
    BOOST_TEST((between(1, 2) >= response_timeout + max_relayed_age - milliseconds{1}));
}

BOOST_AUTO_TEST_CASE(relayed_watch_with_missing_changes_asks_the_store_at_once) {
    relay(15, 16, {{"key", "value", 16}});
    wait_for_calls(1);
    BOOST_TEST(updates.empty());
    BOOST_TEST(watch->copy().position().version == 10U);
}

// Guards against changes that are reverted: a response of the store that was sent before them
// arrives after them.
BOOST_AUTO_TEST_CASE(relayed_watch_ignores_a_response_older_than_the_relayed_changes) {
    respond = {};
    relay(15, 16);
    wait_for_calls(1);
    relay(10, 20, {{"key", "new", 18}});
    BOOST_TEST(updates.size() == 1U);
    stored_version = 16;
    stored_rows = {{"key", "old", 15}};
    respond_at_once(calls[0]);
    run_for(max_relayed_age / 2);
    BOOST_TEST(updates.size() == 1U);
    BOOST_TEST(watch->copy().position().version == 20U);
}

// Guards against earlier states of a row that are applied again and passed on without end.
BOOST_AUTO_TEST_CASE(relayed_watch_ignores_changes_that_it_has_already) {
    relay(10, 12, {{"key", "old", 11}, {"key", "new", 12}});
    relay(9, 11, {{"key", "old", 11}});
    relay(9, 12, {{"key", "old", 11}, {"key", "new", 12}});
    BOOST_TEST(updates.size() == 1U);
}

// Guards against a copy that differs forever, and against reading the table again and again where
// the gateways never agree.
BOOST_AUTO_TEST_CASE(relayed_watch_whose_copy_differs_reads_the_table_again_once) {
    const auto now = common::monotonic_clock::now();
    stored_version = 11;
    for (int n = 0; n < 3; ++n) {
        watch->changes_relayed({store_table::configuration, {0, 10}, {0, 11}, 1234, {}}, now);
        run_for(batch_interval);
    }
    BOOST_REQUIRE(!calls.empty());
    BOOST_TEST(calls[0].target == "/read");
    BOOST_TEST(calls.size() <= 2U);
}

// Guards against a store that is called at once by every gateway, again and again, while it fails.
BOOST_AUTO_TEST_CASE(relayed_watch_calls_a_failing_store_with_long_pauses) {
    respond = [](const store_call& call) { call.reply.respond({503, {}, ""}); };
    wait_for_calls(3);
    BOOST_TEST((between(1, 2) >= max_relayed_age - milliseconds{1}));
    BOOST_TEST((states == std::vector<bool>{false}));
    run_for(max_relayed_age / 4);
    relay(10, 11);
    BOOST_TEST((states == std::vector<bool>{false, true}));
}

// Guards against followers that have to ask the store because their source confirms too rarely.
BOOST_AUTO_TEST_CASE(watch_that_others_rely_on_polls_more_often) {
    watch->set_source(watch_source::store_for_others);
    wait_for_calls(2);
    BOOST_TEST(calls[1].target == "/watch/300");
    BOOST_TEST((limits_for_staleness(std::chrono::seconds{3}, heartbeat).relayed_wait +
                    2 * table_watch_limits{}.batch_interval <=
                limits_for_staleness(std::chrono::seconds{3}, heartbeat).max_relayed_age));
}

BOOST_AUTO_TEST_CASE(watch_that_is_no_longer_relayed_polls_the_store) {
    relay(10, 11);
    watch->set_source(watch_source::store);
    wait_for_calls(1);
    BOOST_TEST(calls[0].target == "/watch/600");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
