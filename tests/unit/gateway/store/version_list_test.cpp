#include "gateway/store/version_list.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;
using std::chrono::seconds;

/// The list of one service at a gateway, and the row in the store.
struct version_list_fixture {
    version_list subject;
    common::time_point now{seconds{1000}};
    version_row row{{}, 1, 50'000};

    /// Reads the row and writes it if it has to change. Returns whether it was written.
    bool update(bool confirmed = true) {
        subject.record_row(row, now);
        const auto next = subject.next_row(row, now, confirmed);
        if (next) {
            row.listed = next;
            subject.record_write(row, now);
        }
        return next.has_value();
    }

    void pass(common::duration time) {
        now += time;
        row.store_ms += std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    [[nodiscard]] std::set<std::string> stored() const {
        return row.listed ? row.listed->versions : std::set<std::string>{};
    }

    void set_stored(std::set<std::string> versions) {
        row.listed = listed_versions{std::move(versions), row.era, 0};
    }

    /// The store comes back from an older copy with this list.
    void restore(std::set<std::string> versions) {
        set_stored(std::move(versions));
        ++row.era;
        subject.invalidate();
    }
};

BOOST_FIXTURE_TEST_SUITE(version_list_test, version_list_fixture)

BOOST_AUTO_TEST_CASE(list_without_instances_needs_no_read) {
    BOOST_TEST(!subject.needs_read(now, true));
}

BOOST_AUTO_TEST_CASE(version_of_an_instance_is_listed_once) {
    subject.record_instances({"v1"}, now);
    BOOST_TEST(subject.needs_read(now, false));
    BOOST_TEST(subject.listed().empty());
    BOOST_TEST(update());
    BOOST_TEST(stored() == std::set<std::string>{"v1"}, boost::test_tools::per_element());
    BOOST_TEST(subject.listed() == stored(), boost::test_tools::per_element());
    BOOST_TEST(!subject.needs_read(now, true));
    BOOST_TEST(!update());
}

BOOST_AUTO_TEST_CASE(list_with_the_versions_of_another_gateway_keeps_them) {
    set_stored({"v1"});
    subject.record_instances({"v2"}, now);
    BOOST_TEST(update());
    BOOST_TEST(stored() == (std::set<std::string>{"v1", "v2"}), boost::test_tools::per_element());
    BOOST_TEST(!sole_version(row).has_value());
}

BOOST_AUTO_TEST_CASE(version_without_instances_leaves_only_when_its_streams_have_ended) {
    subject.record_instances({"v1", "v2"}, now);
    update();
    subject.record_instances({"v2"}, now);
    pass(stream_retention - seconds{1});
    BOOST_TEST(!subject.needs_read(now, true));
    BOOST_TEST(!update());
    pass(seconds{1});
    BOOST_TEST(subject.needs_read(now, true));
    BOOST_TEST(update());
    BOOST_TEST(stored() == std::set<std::string>{"v2"}, boost::test_tools::per_element());
    BOOST_REQUIRE(sole_version(row).has_value());
    BOOST_TEST(*sole_version(row) == "v2");
}

// Guards against a gateway that is out of step and removes the version of engines that it has not
// seen.
BOOST_AUTO_TEST_CASE(version_that_only_others_see_stays_while_the_instances_are_not_confirmed) {
    set_stored({"v1", "v2"});
    subject.record_instances({"v1"}, now);
    update(false);
    pass(stream_retention * 2);
    BOOST_TEST(!subject.needs_read(now, false));
    BOOST_TEST(!update(false));
    BOOST_TEST(stored().size() == 2U);
}

// Guards against a gateway that begins streams at a version which another one has removed from the
// list meanwhile.
BOOST_AUTO_TEST_CASE(version_that_comes_back_after_a_long_time_is_read_before_it_begins_streams) {
    subject.record_instances({"v1", "v2"}, now);
    update();
    subject.record_instances({"v2"}, now);
    pass(stream_retention - seconds{1});
    subject.record_instances({"v1", "v2"}, now);
    BOOST_TEST(!subject.listed().contains("v1"));
    BOOST_TEST(subject.needs_read(now, false));
    set_stored({"v2"});
    BOOST_TEST(update());
    BOOST_TEST(stored().contains("v1"));
    BOOST_TEST(subject.listed().contains("v1"));
}

BOOST_AUTO_TEST_CASE(version_that_is_away_for_a_moment_stays_listed) {
    subject.record_instances({"v1", "v2"}, now);
    update();
    subject.record_instances({"v2"}, now);
    pass(seconds{5});
    subject.record_instances({"v1", "v2"}, now);
    BOOST_TEST(subject.listed().contains("v1"));
    BOOST_TEST(!subject.needs_read(now, true));
}

BOOST_AUTO_TEST_CASE(row_of_an_earlier_era_shows_no_version_and_is_written_again) {
    subject.record_instances({"v1"}, now);
    update();
    pass(relisting_time);
    BOOST_TEST(sole_version(row).has_value());
    BOOST_TEST(subject.is_complete(now));
    restore({"v1"});
    BOOST_TEST(!sole_version(row).has_value());
    BOOST_TEST(subject.needs_read(now, false));
    BOOST_TEST(update());
    BOOST_TEST(row.listed->era == row.era);
    // Other gateways may not have listed their versions again.
    BOOST_TEST(!sole_version(row).has_value());
    BOOST_TEST(!subject.is_complete(now));
    pass(relisting_time);
    BOOST_TEST(sole_version(row).has_value());
}

// Guards against a restore that makes two versions look like one.
BOOST_AUTO_TEST_CASE(version_that_a_restore_has_lost_is_listed_again_by_a_gateway_that_knows_it) {
    subject.record_instances({"v1", "v2"}, now);
    update();
    subject.record_instances({"v2"}, now);
    pass(seconds{1});
    restore({"v2"});
    update();
    BOOST_TEST(stored() == (std::set<std::string>{"v1", "v2"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(row_that_the_store_has_lost_shows_no_version_for_a_time) {
    subject.record_instances({"v1"}, now);
    update();
    row.listed.reset();
    ++row.era;
    subject.invalidate();
    BOOST_TEST(!sole_version(row).has_value());
    BOOST_TEST(update());
    BOOST_TEST(!sole_version(row).has_value());
    pass(relisting_time);
    BOOST_TEST(sole_version(row).has_value());
}

// Guards against a version that only some gateways know after a restore: its streams are taken for
// those of the version that another gateway has listed alone.
BOOST_AUTO_TEST_CASE(version_that_a_restore_has_lost_is_listed_although_another_gateway_was_first) {
    subject.record_instances({"v1", "v2"}, now);
    update();
    // The instances of v2 leave the store; their streams go on for a while.
    subject.record_instances({"v1"}, now);
    pass(seconds{1});
    restore({"v1"});
    // A gateway that has not known v2 completes the list of the older copy first.
    version_list other;
    other.record_instances({"v1"}, now);
    other.record_row(row, now);
    row.listed = other.next_row(row, now, true);
    BOOST_REQUIRE(row.listed.has_value());
    update();
    BOOST_TEST(stored() == (std::set<std::string>{"v1", "v2"}), boost::test_tools::per_element());
    pass(relisting_time);
    BOOST_TEST(!sole_version(row).has_value());
}

// Guards against a gateway that was restarted with the store: it knows no lost list, and its own
// must not count as complete at once.
BOOST_AUTO_TEST_CASE(row_that_a_new_gateway_misses_after_a_restore_shows_no_version_for_a_time) {
    row.era = 2;
    subject.record_instances({"v1"}, now);
    BOOST_TEST(update());
    BOOST_TEST(!sole_version(row).has_value());
    pass(relisting_time);
    BOOST_TEST(sole_version(row).has_value());
}

// Guards against a removal without a response that the store performs seconds later, when the
// version has come back and begins streams.
BOOST_AUTO_TEST_CASE(version_that_comes_back_outlives_a_delayed_removal) {
    std::uint64_t row_version = 57;
    subject.record_instances({"v1", "v2"}, now);
    update();
    subject.record_instances({"v1"}, now);
    pass(stream_retention);
    // This call gets no response.
    const auto removal = subject.next_row(row, now, true);
    const auto removal_expects = row_version;
    BOOST_REQUIRE(removal.has_value());
    // The version comes back before the call is made again.
    subject.record_instances({"v1", "v2"}, now);
    row_version += update() ? 1 : 0;
    BOOST_REQUIRE(subject.listed().contains("v2"));
    if (row_version == removal_expects) {
        row.listed = removal;
    }
    BOOST_TEST(stored().contains("v2"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
