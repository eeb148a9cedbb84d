#include "tickets/replica_state.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "tickets/ticket.h"

namespace jujubemast::tests {

using namespace jujubemast::tickets;

struct replica_state_fixture {
    replica_state state{replica_state_limits{}};
    common::time_point now;

    static snapshot_pointer make_snapshot_at(std::uint64_t revision) {
        return make_snapshot(revision, parse_ticket_file("pools: {encoders: {kind: service}}"));
    }

    void advance_clock(std::chrono::milliseconds time) { now += time; }
};

BOOST_FIXTURE_TEST_SUITE(replica_state_test, replica_state_fixture)

// Guards against fetching the same document from every peer that has its revision.
BOOST_AUTO_TEST_CASE(replica_state_when_several_peers_have_a_revision_fetches_it_once) {
    BOOST_TEST(state.on_peer_revision(3, now));
    BOOST_TEST(!state.on_peer_revision(3, now));
    advance_clock(std::chrono::milliseconds{600});
    BOOST_TEST(state.on_peer_revision(3, now));
}

// Guards against a late or stale response that returns a process to a lower revision.
BOOST_AUTO_TEST_CASE(replica_state_when_given_a_lower_revision_keeps_the_higher_one) {
    BOOST_TEST(state.install_if_newer(make_snapshot_at(5), now));
    BOOST_TEST(!state.install_if_newer(make_snapshot_at(4), now));
    BOOST_TEST(!state.on_store_revision(4, now));
    BOOST_TEST(state.local_revision() == 5U);
}

// Guards against an entry that starts during an outage of the store and serves the lower revision
// of the first sidecar that it hears from.
BOOST_AUTO_TEST_CASE(replica_state_when_starting_without_store_serves_the_highest_known_revision) {
    state.on_peer_revision(4, now);
    state.install_if_newer(make_snapshot_at(4), now);
    BOOST_TEST(state.take_snapshot_to_publish(now) == nullptr);
    state.on_peer_revision(5, now);
    advance_clock(std::chrono::milliseconds{5000});
    BOOST_TEST(state.take_snapshot_to_publish(now) == nullptr);
    BOOST_TEST(!state.not_ready_reason(now).empty());
    state.install_if_newer(make_snapshot_at(5), now);
    BOOST_TEST_REQUIRE(state.take_snapshot_to_publish(now));
    BOOST_TEST(state.served_revision() == 5U);
    BOOST_TEST(state.not_ready_reason(now).empty());
}

BOOST_AUTO_TEST_CASE(replica_state_when_no_source_responds_is_not_ready_and_names_both_sources) {
    BOOST_TEST(state.not_ready_reason(now).find("neither") != std::string::npos);
}

// Guards against a serving entry that stays ready although it cannot fetch a known revision.
BOOST_AUTO_TEST_CASE(replica_state_when_lagging_longer_than_the_limit_is_not_ready) {
    state.on_store_revision(1, now);
    state.install_if_newer(make_snapshot_at(1), now);
    state.take_snapshot_to_publish(now);
    state.on_peer_revision(2, now);
    BOOST_TEST(state.not_ready_reason(now).empty());
    advance_clock(std::chrono::milliseconds{1500});
    BOOST_TEST(!state.not_ready_reason(now).empty());
    state.install_if_newer(make_snapshot_at(2), now);
    BOOST_TEST(state.not_ready_reason(now).empty());
}

// Guards against a restarted coordinator that never receives the configuration again.
BOOST_AUTO_TEST_CASE(replica_state_when_republish_is_requested_returns_the_snapshot_again) {
    state.on_store_revision(1, now);
    state.install_if_newer(make_snapshot_at(1), now);
    BOOST_TEST(state.take_snapshot_to_publish(now) != nullptr);
    BOOST_TEST(state.take_snapshot_to_publish(now) == nullptr);
    state.request_republish();
    BOOST_TEST(state.take_snapshot_to_publish(now) != nullptr);
}

// Guards against installing a document that is corrupted or belongs to another revision.
BOOST_AUTO_TEST_CASE(snapshot_when_digest_differs_is_rejected) {
    const auto original = make_snapshot_at(7);
    BOOST_TEST(parse_snapshot(7, original->digest(), original->document)->digest() ==
               original->digest());
    BOOST_CHECK_THROW(parse_snapshot(7, original->digest() + 1, original->document),
                      common::format_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
