#include "gateway/store/warm_up_tracker.h"

#include <boost/test/unit_test.hpp>

#include "gateway/store/row_digest.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A tracker that has read the table long ago.
struct warm_up_tracker_fixture {
    common::time_point now{seconds{100}};
    warm_up_tracker subject;
    std::uint64_t next_version = 1;

    static upstream_instance entry(const std::string& id, std::int64_t started_ms = 1) {
        return {.id = id, .started_ms = started_ms, .service = "s", .failure_domain = "d1"};
    }

    /// Returns the entry after a row with it has arrived.
    upstream_instance put(upstream_instance from, common::duration cold_left = {}) {
        if (cold_left > common::duration::zero()) {
            from.cold_until = now + cold_left;
        }
        extended = subject.complete(from, {1, next_version++}, now);
        return from;
    }

    void read_table() {
        put(entry("a"));
        subject.table_read(now);
        now += warm_up_tracker::start_time;
    }

    /// Whether the last row made the instance cold for longer.
    bool extended = false;
};

BOOST_FIXTURE_TEST_SUITE(warm_up_tracker_test, warm_up_tracker_fixture)

// Guards against a restart of all gateways that limits what all instances get.
BOOST_AUTO_TEST_CASE(instance_of_the_first_read_has_not_started_during_traffic) {
    BOOST_TEST(!put(entry("a")).warms_up_from.has_value());
    subject.table_read(now);
    BOOST_TEST(!put(entry("a")).warms_up_from.has_value());
}

// Guards against a deployment whose instances all count as cold because they register just after
// the gateways have read the table.
BOOST_AUTO_TEST_CASE(new_instance_soon_after_the_first_read_has_not_started_during_traffic) {
    subject.table_read(now);
    now += seconds{5};
    BOOST_TEST(!put(entry("b")).warms_up_from.has_value());
}

BOOST_AUTO_TEST_CASE(new_instance_during_traffic_warms_up_from_its_appearance) {
    read_table();
    const auto appeared = now;
    BOOST_TEST((put(entry("b")).warms_up_from == appeared));
    now += seconds{1};
    BOOST_TEST((put(entry("b")).warms_up_from == appeared));
}

BOOST_AUTO_TEST_CASE(restarted_instance_warms_up_from_its_appearance) {
    subject.table_read(now);
    put(entry("a"));
    now += seconds{1};
    BOOST_TEST((put(entry("a", 2)).warms_up_from == now));
}

// Guards against a limit after a store outage, in which entries expire.
BOOST_AUTO_TEST_CASE(instance_whose_row_comes_back_has_not_started_again) {
    read_table();
    subject.removed("a", now);
    now += seconds{30};
    BOOST_TEST(!put(entry("a")).warms_up_from.has_value());
}

// Guards against heartbeats of cold instances that are published as changes.
BOOST_AUTO_TEST_CASE(cold_instance_that_rewrites_its_row_has_the_same_entry) {
    const auto first = put(entry("a"), seconds{3});
    now += milliseconds{1000};
    BOOST_TEST((put(entry("a"), milliseconds{2300}) == first));
    BOOST_TEST(!extended);
}

// Guards against a cold time that begins again whenever the table is read again.
BOOST_AUTO_TEST_CASE(row_that_is_read_again_does_not_make_its_instance_cold_for_longer) {
    const auto first = put(entry("a"), seconds{3});
    now += seconds{2};
    --next_version;
    BOOST_TEST((put(entry("a"), seconds{3}).cold_until == first.cold_until));
}

// Guards against followers that take an instance for warm because the digest of its row has not
// changed.
BOOST_AUTO_TEST_CASE(instance_that_is_cold_again_before_the_end_is_reported) {
    put(entry("a"), seconds{3});
    now += seconds{2};
    BOOST_TEST((put(entry("a"), seconds{3}).cold_until == now + seconds{3}));
    BOOST_TEST(extended);
}

BOOST_AUTO_TEST_CASE(digest_of_a_row_changes_with_cold_or_warm_but_not_with_the_time_left) {
    auto cold = entry("a");
    cold.cold_until = now;
    auto longer = cold;
    longer.cold_until = now + seconds{1};
    BOOST_TEST(row_digest(cold) != row_digest(entry("a")));
    BOOST_TEST(row_digest(cold) == row_digest(longer));
    auto started = entry("a");
    started.warms_up_from = now;
    BOOST_TEST(row_digest(started) == row_digest(entry("a")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
