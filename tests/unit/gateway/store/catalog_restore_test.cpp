#include <boost/test/unit_test.hpp>

#include "unit/gateway/store/catalog_fixture.h"

namespace jujubemast::tests {

/// A catalog that has read the first era of its store. Entries of upstreams do not expire during a
/// test case.
struct catalog_restore_fixture : catalog_fixture {
    catalog_restore_fixture() : catalog_fixture{std::chrono::hours{1}} {
        era = 1;
        set_versions(20);
        rows["configuration"] = {{"config", "5", 10}, {"drain/z", "{}", 12}};
        rows["upstreams"] = {{"a", "0", 11}};
        rows["gateways"] = {{own_name, "10.0.0.1:1", 9}, {"other", "10.0.0.2:1", 8}};
        subject->start();
        run_rounds(store_table::configuration);
        run_rounds(store_table::upstreams);
        run_rounds(store_table::gateways);
    }

    void set_versions(std::uint64_t version) {
        for (const auto* table : {"configuration", "upstreams", "gateways"}) {
            versions[table] = version;
        }
    }

    /// Restores the store from a copy without any row, at a version that was given out before.
    void restore() {
        era = 2;
        set_versions(15);
    }

    [[nodiscard]] std::size_t reads(store_table table) const {
        return count_requests(path("/read/", table));
    }

    /// Runs until all tables have been read once more.
    void run_until_read_again(std::size_t count = 2) {
        BOOST_REQUIRE(loop.run_until([&] {
            return reads(store_table::configuration) >= count &&
                   reads(store_table::upstreams) >= count && reads(store_table::gateways) >= count;
        }));
        run_rounds(store_table::configuration);
    }
};

BOOST_FIXTURE_TEST_SUITE(catalog_restore_test, catalog_restore_fixture)

// Guards against tables that stay as they were before a restore, because only the watch of one
// table has noticed it.
BOOST_AUTO_TEST_CASE(catalog_whose_store_names_a_later_era_reads_all_tables_once) {
    restore();
    run_until_read_again();
    run_rounds(store_table::upstreams);
    run_rounds(store_table::gateways);
    BOOST_TEST(reads(store_table::configuration) == 2U);
    BOOST_TEST(reads(store_table::upstreams) == 2U);
    BOOST_TEST(reads(store_table::gateways) == 2U);
    BOOST_TEST(published.back().store_restores == 1U);
}

// Guards against a gateway that the others no longer know.
BOOST_AUTO_TEST_CASE(catalog_whose_row_a_restored_store_lacks_registers_again) {
    const auto before = count_requests("/register");
    restore();
    run_until_read_again();
    BOOST_REQUIRE(loop.run_until([&] { return count_requests("/register") > before; }));
}

// Guards against what was acknowledged before a restore and is forgotten with it.
BOOST_AUTO_TEST_CASE(catalog_whose_restored_store_lacks_rows_keeps_what_it_knows) {
    restore();
    run_until_read_again();
    BOOST_TEST(published.back().configuration->version == 5U);
    BOOST_TEST(published.back().upstreams->contains("a"));
    BOOST_TEST(published.back().drained_domains == 1U);
}

// Guards against permanent refusals of requests that a lost configuration allows, before the
// operator has written it again.
BOOST_AUTO_TEST_CASE(configuration_after_a_restore_is_not_confirmed) {
    BOOST_TEST(confirmations > 0U);
    restore();
    run_until_read_again();
    BOOST_TEST(doubts == 1U);
    const auto before = confirmations;
    run_rounds(store_table::configuration);
    BOOST_TEST(confirmations == before);
}

// Guards against a withdrawn key that is valid again.
BOOST_AUTO_TEST_CASE(configuration_older_than_the_known_one_is_not_put_in_force_by_a_restore) {
    restore();
    rows["configuration"] = {{"config", "4", 10}};
    run_until_read_again();
    BOOST_TEST(published.back().configuration->version == 5U);
    rows["configuration"] = {{"config", "6", 16}};
    run_rounds(store_table::configuration);
    BOOST_TEST(published.back().configuration->version == 6U);
}

// Guards against a gateway that learns of a restore only from its own calls, which may wait long.
BOOST_AUTO_TEST_CASE(catalog_that_hears_of_a_later_era_from_another_gateway_reads_all_tables) {
    const table_changes changes{store_table::upstreams, {2, 15}, {2, 15}, 0, {}};
    era = 2;
    catalog_inbox->post(table_relay{changes, common::monotonic_clock::now()});
    run_until_read_again();
    BOOST_TEST(published.back().store_restores == 1U);
}

// Guards against changes of a former era that another gateway, which does not know of the restore
// yet, passes on.
BOOST_AUTO_TEST_CASE(changes_of_a_former_era_from_another_gateway_are_ignored) {
    restore();
    run_until_read_again();
    const table_changes changes{
        store_table::upstreams, {1, 10}, {1, 30}, 0, {{"late", "0", 25}, {"a", std::nullopt, 26}}};
    catalog_inbox->post(table_relay{changes, common::monotonic_clock::now()});
    run_rounds(store_table::upstreams);
    BOOST_TEST(!published.back().upstreams->contains("late"));
    BOOST_TEST(published.back().upstreams->contains("a"));
}

// Guards against retries of requests that no configuration allows: the operator has written again.
BOOST_AUTO_TEST_CASE(configuration_newer_than_the_known_one_is_confirmed_after_a_restore) {
    restore();
    run_until_read_again();
    const auto before = confirmations;
    rows["configuration"] = {{"config", "6", 16}};
    run_rounds(store_table::configuration);
    run_rounds(store_table::configuration);
    BOOST_TEST(confirmations > before);
}

// Guards against a store that begins to name its era and is taken for restored.
BOOST_AUTO_TEST_CASE(era_that_is_named_for_the_first_time_is_no_restore) {
    catalog_fixture other{std::chrono::hours{1}};
    other.rows["configuration"] = {{"config", "5", 10}};
    other.subject->start();
    other.run_rounds(store_table::configuration);
    other.run_rounds(store_table::upstreams);
    other.run_rounds(store_table::gateways);
    other.era = 4;
    const auto before = other.count_requests(path("/read/", store_table::configuration));
    BOOST_REQUIRE(other.loop.run_until(
        [&] { return other.count_requests(path("/read/", store_table::configuration)) > before; }));
    other.run_rounds(store_table::configuration);
    BOOST_TEST(other.doubts == 0U);
    BOOST_TEST(other.published.back().store_restores == 0U);
}

// Guards against a gateway that never believes the store again, because another one has named an
// era that the store does not have.
BOOST_AUTO_TEST_CASE(era_that_only_another_gateway_names_is_not_taken_over) {
    catalog_inbox->post(domain_drains{{{"y", {99, 1}, false}}});
    rows["configuration"] = {{"config", "6", 21}};
    set_versions(21);
    run_rounds(store_table::configuration);
    run_rounds(store_table::configuration);
    BOOST_TEST(published.back().configuration->version == 6U);
    BOOST_TEST(published.back().store_restores == 0U);
}

// Guards against the row of a gateway that has exited: it registers while it unregisters.
BOOST_AUTO_TEST_CASE(catalog_that_stops_during_a_restore_does_not_register_again) {
    unanswered_paths = {"/unregister"};
    subject->stop([] {});
    const auto before = count_requests("/register");
    restore();
    run_until_read_again();
    run_rounds(store_table::gateways);
    BOOST_TEST(count_requests("/register") == before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
