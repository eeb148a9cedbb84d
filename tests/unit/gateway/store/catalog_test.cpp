#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "gateway/store/row_digest.h"
#include "unit/gateway/store/catalog_fixture.h"

namespace jujubemast::tests {

BOOST_FIXTURE_TEST_SUITE(catalog_test, catalog_fixture)

// Guards against a gateway that the others do not know for seconds after a start, because a store
// that was silent has lost the call that registers it.
BOOST_AUTO_TEST_CASE(registration_that_was_lost_is_repeated_when_the_store_answers_a_read) {
    // A lost call ends after this time.
    constexpr milliseconds call_limit{1500};
    unanswered_paths = {"/register", "/read/gateways"};
    const auto begin = common::monotonic_clock::now();
    subject->start();
    const auto registrations = [this] {
        return std::count(requested_paths.begin(), requested_paths.end(), "/register");
    };
    BOOST_REQUIRE(loop.run_until([&] { return registrations() == 1; }));
    unanswered_paths.clear();
    BOOST_REQUIRE(loop.run_until([&] { return registrations() == 2; }));
    BOOST_TEST((common::monotonic_clock::now() - begin < call_limit));
}

// Guards against permanent refusals based on a configuration that counts as the newest although a
// newer one could not be decoded.
BOOST_AUTO_TEST_CASE(configuration_before_one_that_cannot_be_decoded_is_not_confirmed) {
    rows["configuration"] = {{"config", "1", 1}};
    subject->start();
    run_rounds(store_table::configuration);
    BOOST_TEST(confirmations > 0U);
    rows["configuration"] = {{"config", "", 2}};
    run_rounds(store_table::configuration);
    const auto before = confirmations;
    run_rounds(store_table::configuration);
    BOOST_TEST(confirmations == before);
    rows["configuration"] = {{"config", "3", 3}};
    run_rounds(store_table::configuration);
    BOOST_TEST(confirmations > before);
}

// Guards against a gateway that the others never reach: a registration or unregistration from its
// previous run, which the store applies late, replaces its row.
BOOST_AUTO_TEST_CASE(gateway_whose_row_is_deleted_or_replaced_registers_again) {
    rows["gateways"] = {{own_name, "10.0.0.1:1", 1}};
    subject->start();
    run_rounds(store_table::gateways);
    const auto before = count_requests("/register");
    rows["gateways"] = {{own_name, "10.0.0.1:1", 1}};
    run_rounds(store_table::gateways);
    BOOST_TEST(count_requests("/register") == before);
    rows["gateways"] = {{own_name, std::nullopt, 2}};
    run_rounds(store_table::gateways);
    BOOST_TEST(count_requests("/register") == before + 1);
    rows["gateways"] = {{own_name, "10.0.0.1:9", 3}};
    run_rounds(store_table::gateways);
    BOOST_TEST(count_requests("/register") == before + 2);
}

// Guards against a gateway that accepts requests without knowing any upstream, because the first
// read of the upstream table was lost.
BOOST_AUTO_TEST_CASE(gateway_that_has_not_read_the_upstreams_is_not_ready) {
    rows["configuration"] = {{"config", "1", 1}};
    unanswered_paths = {"/read/upstreams"};
    subject->start();
    run_rounds(store_table::configuration);
    BOOST_REQUIRE(!published.empty());
    BOOST_TEST(published.back().configuration->version == 1U);
    BOOST_TEST((published.back().upstreams == nullptr));
    BOOST_TEST(!not_ready_reasons.back().empty());
    unanswered_paths.clear();
    BOOST_REQUIRE(loop.run_until([&] { return not_ready_reasons.back().empty(); }));
    BOOST_TEST((published.back().upstreams != nullptr));
}

// Guards against work for an upstream whose entry becomes malformed while the store is unstable: it
// was kept like one whose entry has expired.
BOOST_AUTO_TEST_CASE(upstream_whose_entry_becomes_malformed_in_an_outage_is_gone_at_once) {
    rows["upstreams"] = {{"a", "0", 1}, {"b", "0", 1}};
    subject->start();
    run_rounds(store_table::upstreams);
    BOOST_REQUIRE(published.back().upstreams->size() == 2U);
    outcome = store_outcome::unavailable;
    run_rounds(store_table::upstreams);
    rows["upstreams"] = {{"a", "", 2}};
    outcome = store_outcome::done;
    const auto begin = common::monotonic_clock::now();
    BOOST_REQUIRE(loop.run_until([&] { return published.back().upstreams->size() == 1U; }));
    BOOST_TEST((common::monotonic_clock::now() - begin < upstream_list::reregistration_time / 2));
    BOOST_TEST(published.back().upstreams->contains("b"));
}

/// A catalog in whose store no entry expires during a test case.
struct lasting_entries_fixture : catalog_fixture {
    lasting_entries_fixture() : catalog_fixture{std::chrono::hours{1}} {
        rows["upstreams"] = {{"a", "0", 1}, {"b", "0", 1}};
        subject->start();
        run_rounds(store_table::upstreams);
        BOOST_REQUIRE(published.back().upstreams->size() == 2U);
    }

    /// Deletes an entry, and checks that it is gone as soon as the store responds.
    void check_deleted_entry_is_gone_at_once() {
        rows["upstreams"] = {{"a", std::nullopt, 2}};
        const auto before = count_requests(path("/watch/", store_table::upstreams));
        BOOST_REQUIRE(loop.run_until(
            [&] { return count_requests(path("/watch/", store_table::upstreams)) >= before + 3; }));
        BOOST_TEST(published.back().upstreams->size() == 1U);
    }
};

// Guards against requests to an upstream that has left while the connections to the store had gone
// silent: the lost call counted as an outage, and the next response as its end, which deferred the
// removal that this response brought.
BOOST_FIXTURE_TEST_CASE(upstream_removed_while_a_connection_is_silent_is_gone_at_once,
                        lasting_entries_fixture) {
    const auto target = path("/watch/", store_table::upstreams);
    unanswered_paths = {target};
    const auto before = count_requests(target);
    BOOST_REQUIRE(loop.run_until([&] { return count_requests(target) > before; }));
    unanswered_paths.clear();
    check_deleted_entry_is_gone_at_once();
}

// Guards against the same after a single call that the store refuses.
BOOST_FIXTURE_TEST_CASE(upstream_removed_after_a_refused_call_is_gone_at_once,
                        lasting_entries_fixture) {
    for (const auto refusal : {store_outcome::unavailable, store_outcome::throttled}) {
        rows["upstreams"] = {{"a", "0", 3}};
        run_rounds(store_table::upstreams);
        BOOST_REQUIRE(published.back().upstreams->size() == 2U);
        outcome = refusal;
        run_rounds(store_table::upstreams);
        outcome = store_outcome::done;
        check_deleted_entry_is_gone_at_once();
    }
}

// Guards against the same for a gateway that follows others, while its own call to the store fails.
BOOST_FIXTURE_TEST_CASE(upstream_removed_in_the_store_that_others_read_is_gone_at_once,
                        lasting_entries_fixture) {
    const auto target = path("/watch/", store_table::upstreams);
    outcome = store_outcome::unavailable;
    run_rounds(store_table::upstreams);
    catalog_inbox->post(
        table_relay{{store_table::upstreams, {0, 0}, {0, 5}, 0, {{"a", std::nullopt, 5}}},
                    common::monotonic_clock::now()});
    loop.run_ready();
    BOOST_TEST(published.back().upstreams->size() == 1U);
}

// Guards against upstreams that are lost with the entries that they could not renew in an outage.
BOOST_AUTO_TEST_CASE(upstream_removed_in_a_long_outage_stays_for_its_reregistration) {
    rows["upstreams"] = {{"a", "0", 1}, {"b", "0", 1}};
    subject->start();
    run_rounds(store_table::upstreams);
    outcome = store_outcome::unavailable;
    run_rounds(store_table::upstreams);
    rows["upstreams"] = {{"a", std::nullopt, 2}};
    outcome = store_outcome::done;
    const auto recovered = common::monotonic_clock::now();
    run_rounds(store_table::upstreams);
    BOOST_TEST(published.back().upstreams->size() == 2U);
    BOOST_REQUIRE(loop.run_until([&] { return published.back().upstreams->size() == 1U; }));
    BOOST_TEST((common::monotonic_clock::now() - recovered >= upstream_list::reregistration_time));
}

// Guards against followers that take their configuration for the newest, and refuse requests for
// good by it, although a newer one could not be decoded: the gateway that reads the store did not
// pass it on.
BOOST_AUTO_TEST_CASE(configuration_that_cannot_be_decoded_is_passed_on) {
    rows["configuration"] = {{"config", "1", 1}};
    subject->start();
    run_rounds(store_table::configuration);
    relayed.clear();
    rows["configuration"] = {{"config", "", 2}};
    run_rounds(store_table::configuration);
    const auto passed_on = std::count_if(relayed.begin(), relayed.end(), [](const auto& it) {
        return it.changes.table == store_table::configuration && !it.changes.rows.empty() &&
               it.changes.rows.front().value == "";
    });
    BOOST_TEST(passed_on == 1);
}

BOOST_AUTO_TEST_CASE(follower_does_not_confirm_its_configuration_after_one_that_cannot_be_decoded) {
    rows["configuration"] = {{"config", "1", 1}};
    subject->start();
    run_rounds(store_table::configuration);
    catalog_inbox->post(store_role{false, false});
    const store_row malformed{"config", "", 2};
    table_copy expected;
    expected.set_row(malformed.key, undecoded_row_digest(malformed));
    const auto relay = [&](std::uint64_t since) {
        catalog_inbox->post(table_relay{
            {store_table::configuration, {0, since}, {0, 2}, expected.digest(), {malformed}},
            common::monotonic_clock::now()});
        loop.run_ready();
    };
    relay(0);
    const auto before = confirmations;
    relay(2);
    BOOST_TEST(confirmations == before);
    BOOST_TEST(published.back().configuration->version == 1U);
}

// Guards against permits for cold instances by names that nobody has confirmed.
BOOST_AUTO_TEST_CASE(response_for_the_gateways_confirms_their_names) {
    subject->start();
    run_rounds(store_table::gateways);
    const auto before = name_confirmations;
    run_rounds(store_table::gateways);
    BOOST_TEST(name_confirmations > before);
}

// Guards against heartbeats of cold instances that load all gateways, and against followers that
// take an instance for warm too early or for cold too long.
BOOST_AUTO_TEST_CASE(row_of_a_cold_instance_is_passed_on_if_it_becomes_warm_or_cold_for_longer) {
    rows["upstreams"] = {{"a", "60000", 1}};
    subject->start();
    run_rounds(store_table::upstreams);
    BOOST_TEST(published.back().upstreams->at("a").cold_until.has_value());
    const auto passed_on = [this](const std::string& cold_left, std::uint64_t version) {
        relayed.clear();
        rows["upstreams"] = {{"a", cold_left, version}};
        run_rounds(store_table::upstreams);
        std::size_t count = 0;
        for (const auto& it : relayed) {
            count += it.changes.table == store_table::upstreams ? it.changes.rows.size() : 0;
        }
        return count;
    };
    const auto before = published.size();
    BOOST_TEST(passed_on("60000", 2) == 0U);
    BOOST_TEST(published.size() == before);
    BOOST_TEST(passed_on("90000", 3) == 1U);
    BOOST_TEST(published.size() == before + 1);
    BOOST_TEST(passed_on("0", 4) == 1U);
    BOOST_TEST(!published.back().upstreams->at("a").cold_until.has_value());
    BOOST_TEST(passed_on("0", 5) == 0U);
    BOOST_TEST(published.size() == before + 2);
}

// Guards against changes that followers miss, heartbeats that load them, and configurations that
// fill the links of small gateways.
BOOST_AUTO_TEST_CASE(changes_are_passed_on_if_they_are_new_and_small) {
    rows["gateways"] = {{"other", "10.0.0.2:1", 1}};
    subject->start();
    run_rounds(store_table::gateways);
    const auto rows_of = [this](const std::string& value) {
        relayed.clear();
        rows["gateways"] = {{"other", value, 2}};
        run_rounds(store_table::gateways);
        std::size_t count = 0;
        for (const auto& it : relayed) {
            count += it.changes.table == store_table::gateways ? it.changes.rows.size() : 0;
        }
        return count;
    };
    BOOST_TEST(rows_of("10.0.0.2:2") == 1U);
    BOOST_TEST(rows_of("10.0.0.2:2") == 0U);
    BOOST_TEST(rows_of(std::string(10'000, 'x')) == 0U);
    catalog_inbox->post(store_role{false, false});
    BOOST_TEST(rows_of("10.0.0.2:3") == 0U);
    BOOST_TEST(relayed.empty());
}

/// A catalog that knows an upstream in each of the domains a and b.
struct drained_catalog_fixture : catalog_fixture {
    drained_catalog_fixture() {
        rows["configuration"] = {{"config", "1", 1}};
        rows["upstreams"] = {{"in-a", "a", 1}, {"in-b", "b", 1}};
        versions["configuration"] = 1;
        subject->start();
        BOOST_REQUIRE(loop.run_until(
            [&] { return !not_ready_reasons.empty() && not_ready_reasons.back().empty(); }));
    }

    /// The store writes a row of the configuration table.
    void store_row_of_drain(const store_row& row) {
        rows["configuration"].push_back(row);
        versions["configuration"] = row.version;
        run_rounds(store_table::configuration);
    }

    [[nodiscard]] bool is_drained(const std::string& id) const {
        return published.back().upstreams->at(id).domain_drained;
    }
};

// Guards against work for instances in a domain that the operator has drained.
BOOST_FIXTURE_TEST_CASE(drained_domain_is_marked_at_its_upstreams_until_its_row_is_deleted,
                        drained_catalog_fixture) {
    BOOST_TEST(!is_drained("in-a"));
    store_row_of_drain({"drain/a", "{}", 2});
    BOOST_TEST(is_drained("in-a"));
    BOOST_TEST(!is_drained("in-b"));
    BOOST_TEST(published.back().configuration->version == 1U);
    store_row_of_drain({"drain/a", std::nullopt, 3});
    BOOST_TEST(!is_drained("in-a"));
    BOOST_TEST(published.back().upstreams->at("in-a").warms_up_from.has_value());
    BOOST_TEST(!published.back().upstreams->at("in-b").warms_up_from.has_value());
    BOOST_REQUIRE(announced.size() == 2U);
    BOOST_TEST((announced[0].drains == std::vector<domain_drain>{{"a", {0, 2}, true}}));
    BOOST_TEST((announced[1].drains == std::vector<domain_drain>{{"a", {0, 3}, false}}));
}

// Guards against a malformed row that leaves a domain in use although the operator has drained it.
BOOST_FIXTURE_TEST_CASE(malformed_drain_is_in_force, drained_catalog_fixture) {
    store_row_of_drain({"drain/a", "", 2});
    BOOST_TEST(is_drained("in-a"));
}

// Guards against a gateway that the store does not serve and that never learns of a drain.
BOOST_FIXTURE_TEST_CASE(drain_that_another_gateway_announces_is_in_force_without_the_store,
                        drained_catalog_fixture) {
    outcome = store_outcome::unavailable;
    run_rounds(store_table::configuration);
    catalog_inbox->post(domain_drains{{{"a", {0, 5}, true}}});
    loop.run_ready();
    BOOST_TEST(is_drained("in-a"));
    // The end of an earlier drain arrives late.
    catalog_inbox->post(domain_drains{{{"a", {0, 4}, false}}});
    loop.run_ready();
    BOOST_TEST(is_drained("in-a"));
    BOOST_TEST(announced.empty());
}

// Guards against a drain that ends because the store has lost its history and the whole table is
// read, or that outlasts its row for the same reason.
BOOST_FIXTURE_TEST_CASE(drain_after_a_read_of_the_whole_table_is_that_of_the_table,
                        drained_catalog_fixture) {
    store_row_of_drain({"drain/a", "{}", 2});
    outcome = store_outcome::history_lost;
    const auto reads = count_requests("/read/configuration");
    BOOST_REQUIRE(
        loop.run_until([&] { return count_requests("/read/configuration") > reads + 1; }));
    BOOST_TEST(is_drained("in-a"));
    rows["configuration"] = {{"config", "1", 1}, {"drain/b", "{}", 3}};
    versions["configuration"] = 4;
    outcome = store_outcome::done;
    BOOST_REQUIRE(loop.run_until([&] { return is_drained("in-b"); }));
    BOOST_TEST(!is_drained("in-a"));
}

// Guards against followers that keep the version of the first of two drains, so that its late end
// also ends the second one.
BOOST_FIXTURE_TEST_CASE(drain_that_was_ended_and_set_again_is_passed_on, drained_catalog_fixture) {
    store_row_of_drain({"drain/a", "{}", 2});
    relayed.clear();
    store_row_of_drain({"drain/a", "{}", 4});
    const auto passed_on = std::count_if(relayed.begin(), relayed.end(), [](const auto& it) {
        return !it.changes.rows.empty() && it.changes.rows.front().version == 4;
    });
    BOOST_TEST(passed_on == 1);
}

// Guards against a restarted gateway that serves before it knows the drains.
BOOST_AUTO_TEST_CASE(gateway_that_has_not_read_the_configuration_table_is_not_ready) {
    rows["upstreams"] = {{"in-a", "a", 1}};
    rows["configuration"] = {{"config", "1", 1}, {"drain/a", "{}", 2}};
    versions["configuration"] = 2;
    unanswered_paths = {"/read/configuration"};
    subject->start();
    run_rounds(store_table::gateways);
    BOOST_REQUIRE(!not_ready_reasons.empty());
    BOOST_TEST(std::count(not_ready_reasons.begin(), not_ready_reasons.end(), "") == 0);
    unanswered_paths.clear();
    BOOST_REQUIRE(loop.run_until([&] { return not_ready_reasons.back().empty(); }));
    // No published state has the configuration without the drain.
    for (const auto& it : published) {
        BOOST_TEST((!it.configuration || it.upstreams->at("in-a").domain_drained));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
