#include "ctl/command_table.h"

#include <boost/test/unit_test.hpp>

#include "ctl/rollout_progress.h"

namespace jujubemast::tests {

using namespace jujubemast::ctl;

BOOST_AUTO_TEST_SUITE(command_table_test)

BOOST_AUTO_TEST_CASE(command_table_when_listed_has_one_row_for_each_command) {
    std::size_t n = 0;
    for (const auto& it : command_table()) {
        BOOST_TEST(static_cast<std::size_t>(it.name) == n++);
    }
    BOOST_TEST(n == common::enumerator_count<command>());
}

BOOST_AUTO_TEST_CASE(command_when_arguments_are_wrong_is_not_matched) {
    const auto found = match_command({"ticket", "accept", "7"});
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST((found->description->name == command::ticket_accept));
    BOOST_TEST(found->arguments.front() == "7");
    BOOST_TEST(!match_command({"ticket", "accept"}).has_value());
    BOOST_TEST(!match_command({"ticket", "accept", "seven"}).has_value());
    BOOST_TEST(!match_command({"ticket"}).has_value());
    BOOST_TEST(!match_command({}).has_value());
}

// Guards against exit codes that are missing in the help text.
BOOST_AUTO_TEST_CASE(usage_text_when_printed_lists_every_exit_code) {
    for (const auto name : common::enum_names<command_result>::table) {
        BOOST_TEST(usage_text().find("  " + std::string{name}) != std::string::npos);
    }
}

// Guards against reporting success while a process does not respond or lags.
BOOST_AUTO_TEST_CASE(rollout_progress_when_an_entry_does_not_respond_counts_it_as_lagging) {
    const auto report = parse_entry_revisions(
        R"({"name":"e","revision":4,"sidecars":[{"name":"s","up":true,"revision":3},)"
        R"({"name":"gone","up":false,"revision":0}]})");
    BOOST_TEST_REQUIRE(report.has_value());
    const auto rollout = measure_rollout(4, {{"1", report}, {"2", std::nullopt}});
    BOOST_TEST(rollout.live == 3U);
    BOOST_TEST(rollout.applied == 1U);
    BOOST_TEST(rollout.lagging.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
