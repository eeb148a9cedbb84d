#include "gateway/upstream_list.h"

#include <boost/test/unit_test.hpp>

#include "gateway/configuration.h"
#include "gateway/ownership.h"

namespace jujubemast::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct upstream_list_fixture {
    static constexpr milliseconds heartbeat{1000};
    /// The shortest time without the store in which entries may have expired.
    static constexpr milliseconds long_outage{2000};

    gateway::upstream_list list{heartbeat};
    common::time_point now{seconds{100}};

    static gateway::upstream_instance entry(const std::string& id, std::int64_t started_ms = 1) {
        gateway::upstream_instance it;
        it.id = id;
        it.started_ms = started_ms;
        it.service = "s";
        it.address = {"10.0.0.1", 80};
        return it;
    }
};

BOOST_FIXTURE_TEST_SUITE(upstream_list_test, upstream_list_fixture)

BOOST_AUTO_TEST_CASE(upstream_list_with_a_new_incarnation_of_an_id_has_changed) {
    BOOST_TEST(list.put(entry("a")));
    BOOST_TEST(!list.put(entry("a")));
    BOOST_TEST(list.put(entry("a", 2)));
}

// Guards against new work for an upstream that has announced its stop, while its entry in the store
// still says that it serves.
BOOST_AUTO_TEST_CASE(upstream_that_announced_its_leaving_drains_until_it_restarts) {
    list.put(entry("a"));
    BOOST_TEST(list.mark_leaving(gateway::incarnation_of(entry("a"))));
    BOOST_TEST(!list.mark_leaving(gateway::incarnation_of(entry("a"))));
    list.put(entry("a"));
    list.remove("a", now);
    list.put(entry("a"));
    BOOST_TEST((list.entries().at("a").phase == gateway::upstream_phase::draining));
    list.put(entry("a", 2));
    BOOST_TEST((list.entries().at("a").phase == gateway::upstream_phase::serving));
}

BOOST_AUTO_TEST_CASE(upstream_removed_while_the_store_is_stable_is_gone_at_once) {
    list.put(entry("a"));
    BOOST_TEST(list.remove("a", now));
    BOOST_TEST(list.entries().empty());
}

// Guards against removing upstreams whose entries expired during a store outage.
BOOST_AUTO_TEST_CASE(upstream_missing_after_a_store_outage_stays_for_the_reregistration_time) {
    list.put(entry("a"));
    list.put(entry("b"));
    list.record_store_outage();
    list.record_store_recovery(now, long_outage);
    BOOST_TEST(!list.replace({{"b", entry("b")}}, now));
    BOOST_TEST(list.entries().size() == 2U);
    BOOST_TEST(!list.expire(now + seconds{1}));
    BOOST_TEST(list.expire(now + gateway::upstream_list::reregistration_time));
    BOOST_TEST(list.entries().size() == 1U);
}

// Guards against requests to an upstream that has left: a call to the store that was lost or
// refused counted as an outage, whose end deferred the removal that the next response brought.
BOOST_AUTO_TEST_CASE(upstream_missing_after_an_outage_too_short_for_expiry_is_gone_at_once) {
    list.put(entry("a"));
    list.record_store_outage();
    list.record_store_recovery(now, long_outage - milliseconds{1});
    BOOST_TEST(!list.may_have_expired(now));
    BOOST_TEST(list.remove("a", now));
    BOOST_TEST(list.entries().empty());
}

// Guards against the removal of an upstream that could not renew its entry, because the store
// failed again before the upstream had had its time for that.
BOOST_AUTO_TEST_CASE(upstream_kept_after_an_outage_stays_longer_after_a_short_second_one) {
    list.put(entry("a"));
    list.record_store_outage();
    list.record_store_recovery(now, long_outage);
    BOOST_TEST(!list.remove("a", now));
    const auto end = now + gateway::upstream_list::reregistration_time;
    list.record_store_outage();
    BOOST_TEST(!list.next_expiry().has_value());
    list.record_store_recovery(end, seconds{1});
    BOOST_TEST(!list.expire(end + seconds{1} - milliseconds{1}));
    BOOST_TEST(list.expire(end + seconds{1}));
}

BOOST_AUTO_TEST_CASE(expired_upstream_whose_entry_returns_stays) {
    list.put(entry("a"));
    list.record_store_outage();
    list.remove("a", now);
    list.record_store_recovery(now, long_outage);
    list.put(entry("a"));
    BOOST_TEST(!list.expire(now + seconds{10}));
    BOOST_TEST(list.entries().size() == 1U);
}

// Guards against work for an upstream whose entry has become malformed during an outage: it was
// kept like one that has expired.
BOOST_AUTO_TEST_CASE(upstream_whose_entry_is_malformed_in_an_outage_is_gone_at_once) {
    list.put(entry("a"));
    list.record_store_outage();
    list.remove("a", now);
    BOOST_TEST(list.discard("a"));
    BOOST_TEST(list.entries().empty());
    list.record_store_recovery(now, long_outage);
    BOOST_TEST(!list.next_expiry().has_value());
}

// Guards against work for an upstream that was draining before the outage.
BOOST_AUTO_TEST_CASE(draining_upstream_removed_in_an_outage_is_gone_at_once) {
    auto leaving = entry("a");
    leaving.phase = gateway::upstream_phase::draining;
    list.put(leaving);
    list.record_store_outage();
    BOOST_TEST(list.remove("a", now));
    BOOST_TEST(list.entries().empty());
}

BOOST_AUTO_TEST_CASE(route_with_the_longest_prefix_is_found) {
    gateway::configuration known;
    for (const auto* prefix : {"/a/", "/a/b/", "/c/"}) {
        gateway::route added;
        added.host = "h";
        added.prefix = prefix;
        known.routes.push_back(added);
    }
    gateway::index_routes(known);
    BOOST_TEST(gateway::find_route(known, "h", "/a/b/c")->prefix == "/a/b/");
    BOOST_TEST(gateway::find_route(known, "h:80", "/a/x")->prefix == "/a/");
    BOOST_TEST(gateway::find_route(known, "h", "/a") == nullptr);
    BOOST_TEST(gateway::find_route(known, "other", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(service_is_chosen_by_weight) {
    gateway::route of;
    of.services = {{"x", 90}, {"y", 10}};
    BOOST_TEST(gateway::choose_service(of, 0.5) == "x");
    BOOST_TEST(gateway::choose_service(of, 0.95) == "y");
}

// Guards against moving services between gateways that stay.
BOOST_AUTO_TEST_CASE(owner_that_leaves_moves_only_its_own_services) {
    const std::vector<std::string> all{"g1", "g2", "g3", "g4"};
    for (int n = 0; n < 50; ++n) {
        const auto service = "service-" + std::to_string(n);
        const auto owner = gateway::choose_owner(service, all);
        std::vector<std::string> rest;
        for (const auto& it : all) {
            if (it != "g2") {
                rest.push_back(it);
            }
        }
        const auto next = gateway::choose_owner(service, rest);
        BOOST_TEST((owner == "g2" || next == owner));
    }
    BOOST_TEST(gateway::choose_owner("s", {}).empty());
}

// Guards against requests to an instance that has exited: a restored store holds its entry again.
BOOST_AUTO_TEST_CASE(upstream_that_has_left_does_not_come_back_with_a_restored_store) {
    list.put(entry("a"));
    list.remove("a", now);
    list.record_restore(now);
    BOOST_TEST(!list.replace({{"a", entry("a")}}, now));
    BOOST_TEST(list.entries().empty());
    // The store removes the entry, because nobody renews it.
    BOOST_TEST(!list.remove("a", now));
    BOOST_TEST(!list.end_restore());
    BOOST_TEST(list.entries().empty());
}

// Guards against an instance that is lost for good because its entry had expired before a restore.
BOOST_AUTO_TEST_CASE(upstream_that_came_back_with_a_restored_store_is_used_in_the_end) {
    list.put(entry("a"));
    list.remove("a", now);
    list.record_restore(now);
    list.replace({{"a", entry("a")}}, now);
    BOOST_TEST(list.end_restore());
    BOOST_TEST(list.entries().contains("a"));
}

// Guards against new work for an instance whose announced stop a restored store has lost.
BOOST_AUTO_TEST_CASE(upstream_that_drains_stays_so_when_a_restored_store_says_that_it_serves) {
    auto draining = entry("a");
    draining.phase = gateway::upstream_phase::draining;
    list.put(draining);
    list.record_restore(now);
    BOOST_TEST(!list.replace({{"a", entry("a")}}, now));
    BOOST_TEST((list.entries().at("a").phase == gateway::upstream_phase::draining));
    BOOST_TEST(list.put(entry("a", 2)));
    BOOST_TEST((list.entries().at("a").phase == gateway::upstream_phase::serving));
}

// Guards against an instance that is alive and refused: it wrote its entry again after its entry
// had expired.
BOOST_AUTO_TEST_CASE(upstream_that_writes_its_entry_after_a_restore_is_used_at_once) {
    list.put(entry("a"));
    list.record_restore(now);
    list.replace({}, now);
    now += gateway::upstream_list::reregistration_time;
    BOOST_REQUIRE(list.expire(now));
    BOOST_TEST(list.put(entry("a")));
    BOOST_TEST(list.entries().contains("a"));
}

// Guards against requests to the address of a former incarnation, whose entry is in the older copy.
BOOST_AUTO_TEST_CASE(upstream_stays_when_a_restored_store_holds_a_former_incarnation) {
    list.put(entry("a", 1));
    list.put(entry("a", 2));
    list.record_restore(now);
    BOOST_TEST(!list.replace({{"a", entry("a", 1)}}, now));
    BOOST_TEST(list.entries().at("a").started_ms == 2);
}

// Guards against removing upstreams whose entries a restored store lacks until they are renewed.
BOOST_AUTO_TEST_CASE(upstream_missing_in_a_restored_store_stays_for_the_reregistration_time) {
    list.put(entry("a"));
    list.record_restore(now);
    BOOST_TEST(!list.replace({}, now));
    BOOST_TEST(list.entries().contains("a"));
    BOOST_TEST(list.expire(now + gateway::upstream_list::reregistration_time));
    BOOST_TEST(list.entries().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
