#include <filesystem>
#include <regex>

#include <boost/test/unit_test.hpp>

#include "ctl/command_table.h"
#include "entry/problem.h"
#include "protocol/messages.h"
#include "support/pages.h"

namespace jujubemast::tests {

struct reference_page_fixture {
    std::string page = read_source("docs/operations/reference.md");

    /// Returns the first capture of every match in the sources of the product.
    static std::set<std::string> find_in_sources(const std::regex& pattern) {
        std::set<std::string> found;
        const std::filesystem::path root{JUJUBEMAST_SOURCE_DIR};
        for (const auto& it : std::filesystem::recursive_directory_iterator{root / "source/core"}) {
            const auto kind = it.path().extension();
            if ((kind != ".h" && kind != ".cpp") || it.path().filename() == "messages.pb.h") {
                continue;
            }
            const auto text = read_source(std::filesystem::relative(it.path(), root).string());
            for (std::sregex_iterator at{text.begin(), text.end(), pattern}, end; at != end; ++at) {
                found.insert((*at)[1].str());
            }
        }
        return found;
    }

    /// Compares the names that the page lists under a heading with those of the code.
    void check_listed(const std::string& heading, const std::set<std::string>& expected) const {
        const auto listed = first_cells(table_rows(page, heading));
        for (const auto& it : expected) {
            BOOST_TEST(listed.contains(it), "the page lacks " + it);
        }
        for (const auto& it : listed) {
            BOOST_TEST(expected.contains(it), "the code has no " + it);
        }
    }

    template <typename Enum>
    void check_names(const std::string& heading) const {
        std::set<std::string> names;
        for (const auto& it : common::enum_names<Enum>::table) {
            names.emplace(it);
        }
        check_listed(heading, names);
    }
};

BOOST_FIXTURE_TEST_SUITE(reference_page_test, reference_page_fixture)

// Guards against a log line whose prefix operators cannot look up.
BOOST_AUTO_TEST_CASE(reference_page_when_compared_lists_every_log_prefix) {
    const auto used =
        find_in_sources(std::regex{R"re(logging::logger\s+\w+\{\s*"([^"]+)"\s*\})re"});
    BOOST_TEST(used.size() >= 10U);
    check_listed("## Log prefixes", used);
}

// Guards against a page that sends operators after a wrong status code.
BOOST_AUTO_TEST_CASE(reference_page_when_compared_lists_every_problem_with_its_status) {
    check_names<entry::problem_kind>("## Problem kinds");
    for (const auto& row : table_rows(page, "## Problem kinds")) {
        BOOST_TEST_REQUIRE(row.size() == 4U);
        const auto kind = common::from_name<entry::problem_kind>(row[0]);
        BOOST_TEST_REQUIRE(kind.has_value());
        BOOST_TEST(row[1] == std::to_string(entry::status_of(*kind)), "status of " + row[0]);
    }
}

BOOST_AUTO_TEST_CASE(reference_page_when_compared_names_only_known_executions) {
    const std::regex word{"`([a-z_]+)`"};
    for (const auto& row : table_rows(page, "## Problem kinds")) {
        std::sregex_iterator at{row[2].begin(), row[2].end(), word};
        BOOST_TEST((at != std::sregex_iterator{}), row[0] + " has no execution");
        for (; at != std::sregex_iterator{}; ++at) {
            BOOST_TEST(common::from_name<common::execution>((*at)[1].str()).has_value(),
                       "execution of " + row[0]);
        }
    }
}

BOOST_AUTO_TEST_CASE(reference_page_when_compared_lists_every_refusal_of_sidecars) {
    check_names<protocol::refusal_reason>("## Refusals of sidecars");
}

// Guards against scripts that read a meaning into a wrong exit code.
BOOST_AUTO_TEST_CASE(reference_page_when_compared_lists_every_exit_code_of_ctl) {
    check_names<ctl::command_result>("### jujubemast-ctl");
    for (const auto& row : table_rows(page, "### jujubemast-ctl")) {
        const auto result = common::from_name<ctl::command_result>(row[0]);
        BOOST_TEST_REQUIRE(result.has_value());
        BOOST_TEST(row[1] == std::to_string(static_cast<int>(*result)));
        BOOST_TEST(ctl::usage_text().find(row[2]) != std::string::npos, "meaning of " + row[0]);
    }
}

BOOST_AUTO_TEST_CASE(reference_page_when_compared_lists_every_admin_path) {
    check_listed("## Admin paths",
                 find_in_sources(std::regex{R"re(path [!=]= "(/[a-z0-9/]+)")re"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
