#include "tickets/replica_state.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "tickets/ticket.h"

namespace jujubemast::tests {

using namespace jujubemast::tickets;

struct replica_state_fixture {
    replica_state state{replica_state_limits{}};
    common::time_point now;

    static snapshot_pointer at(std::uint64_t revision) {
        return make_snapshot(revision, parse_ticket_file("pools: {encoders: {kind: service}}"));
    }

    void pass(std::chrono::milliseconds time) { now += time; }
};

BOOST_FIXTURE_TEST_SUITE(replica_state_test, replica_state_fixture)

// Guards against a document that is fetched from every peer that names its revision.
BOOST_AUTO_TEST_CASE(replica_state_when_several_peers_name_a_revision_fetches_once) {
    BOOST_TEST(state.on_peer_revision(3, now));
    BOOST_TEST(!state.on_peer_revision(3, now));
    pass(std::chrono::milliseconds{600});
    BOOST_TEST(state.on_peer_revision(3, now));
}

// Guards against a late or stale answer that takes a process back.
BOOST_AUTO_TEST_CASE(replica_state_when_offered_a_lower_revision_keeps_the_higher_one) {
    BOOST_TEST(state.install_if_newer(at(5), now));
    BOOST_TEST(!state.install_if_newer(at(4), now));
    BOOST_TEST(!state.on_store_revision(4, now));
    BOOST_TEST(state.local_revision() == 5U);
}

// Guards against an entry that starts during an outage and serves from the first sidecar's older
// revision.
BOOST_AUTO_TEST_CASE(replica_state_when_starting_without_store_serves_the_highest_revision_named) {
    state.on_peer_revision(4, now);
    state.install_if_newer(at(4), now);
    BOOST_TEST(state.take_snapshot_to_publish(now) == nullptr);
    state.on_peer_revision(5, now);
    pass(std::chrono::milliseconds{5000});
    BOOST_TEST(state.take_snapshot_to_publish(now) == nullptr);
    BOOST_TEST(!state.not_ready_reason(now).empty());
    state.install_if_newer(at(5), now);
    BOOST_TEST_REQUIRE(state.take_snapshot_to_publish(now));
    BOOST_TEST(state.served_revision() == 5U);
    BOOST_TEST(state.not_ready_reason(now).empty());
}

BOOST_AUTO_TEST_CASE(replica_state_when_nothing_answers_is_not_ready_and_names_both_sources) {
    BOOST_TEST(state.not_ready_reason(now).find("neither") != std::string::npos);
}

// Guards against a serving entry that stays in rotation while it cannot get a known revision.
BOOST_AUTO_TEST_CASE(replica_state_when_behind_longer_than_the_limit_is_not_ready) {
    state.on_store_revision(1, now);
    state.install_if_newer(at(1), now);
    state.take_snapshot_to_publish(now);
    state.on_peer_revision(2, now);
    BOOST_TEST(state.not_ready_reason(now).empty());
    pass(std::chrono::milliseconds{1500});
    BOOST_TEST(!state.not_ready_reason(now).empty());
    state.install_if_newer(at(2), now);
    BOOST_TEST(state.not_ready_reason(now).empty());
}

// Guards against a restarted coordinator that never gets the configuration again.
BOOST_AUTO_TEST_CASE(replica_state_when_service_is_repeated_gives_the_snapshot_again) {
    state.on_store_revision(1, now);
    state.install_if_newer(at(1), now);
    BOOST_TEST(state.take_snapshot_to_publish(now) != nullptr);
    BOOST_TEST(state.take_snapshot_to_publish(now) == nullptr);
    state.request_republish();
    BOOST_TEST(state.take_snapshot_to_publish(now) != nullptr);
}

// Guards against a document that was damaged or belongs to another revision.
BOOST_AUTO_TEST_CASE(snapshot_when_digest_differs_is_refused) {
    const auto made = at(7);
    BOOST_TEST(parse_snapshot(7, made->digest(), made->document)->digest() == made->digest());
    BOOST_CHECK_THROW(parse_snapshot(7, made->digest() + 1, made->document), common::format_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
