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
            if ((kind != ".h" && kind != ".cpp") ||
                it.path().filename().string().ends_with("messages.pb.h")) {
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

// Guards against a log prefix that the page does not explain.
BOOST_AUTO_TEST_CASE(reference_page_when_compared_lists_every_log_prefix) {
    const auto used =
        find_in_sources(std::regex{R"re(logging::logger\s+\w+\{\s*"([^"]+)"\s*\})re"});
    BOOST_TEST(used.size() >= 10U);
    check_listed("## Log prefixes", used);
}

// Guards against a log field that the page does not explain.
BOOST_AUTO_TEST_CASE(reference_page_when_compared_lists_every_field_of_gateway_log_lines) {
    const std::regex line{R"re((?:m_log\.[a-z]+\(|logging::fields values\{)[^;]*;)re"};
    const std::regex field{R"re(\{\s*"([a-z_]+)",)re"};
    std::set<std::string> used;
    const std::filesystem::path root{JUJUBEMAST_SOURCE_DIR};
    const auto folder = root / "source/core/gateway";
    for (const auto& it : std::filesystem::recursive_directory_iterator{folder}) {
        if (!it.is_regular_file()) {
            continue;
        }
        const auto text = read_source(std::filesystem::relative(it.path(), root).string());
        for (std::sregex_iterator at{text.begin(), text.end(), line}, end; at != end; ++at) {
            const auto statement = at->str();
            for (std::sregex_iterator key{statement.begin(), statement.end(), field}; key != end;
                 ++key) {
                used.insert((*key)[1].str());
            }
        }
    }
    BOOST_TEST(used.size() >= 30U);
    check_listed("## Fields of gateway log lines", used);
}

// Guards against a page that lists a wrong status code for a problem.
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

// Guards against a page that lists a wrong exit code, on which scripts may rely.
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

// Guards against pages that quote log lines which no program writes.
BOOST_AUTO_TEST_CASE(operations_pages_when_compared_quote_only_existing_log_lines) {
    const std::regex quoted{R"re(`([a-z]+): ([A-Z][^`.]*\.)[ `])re"};
    const auto sentences = find_in_sources(std::regex{R"re(log\.[a-z]+\([^"{;]*"([^"]+)")re"});
    std::size_t n = 0;
    for (const auto* name : {"failures.md", "tickets.md", "rolling-upgrade.md"}) {
        const auto text = read_source(std::string{"docs/operations/"} + name);
        for (std::sregex_iterator it{text.begin(), text.end(), quoted}, end; it != end; ++it, ++n) {
            BOOST_TEST(sentences.contains((*it)[2].str()), "no program logs " + it->str());
        }
    }
    BOOST_TEST(n >= 20U);
}

// Guards against pages that name metrics or dump members which do not exist.
BOOST_AUTO_TEST_CASE(health_page_when_compared_names_the_metrics_of_the_programs) {
    const auto text = read_source("docs/operations/health.md");
    std::set<std::string> named;
    const std::regex metric{"`(jujubemast_[a-z_]+)`"};
    for (std::sregex_iterator it{text.begin(), text.end(), metric}, end; it != end; ++it) {
        named.insert((*it)[1].str());
    }
    const auto offered = find_in_sources(std::regex{R"re("(jujubemast_[a-z_]+)")re"});
    BOOST_TEST(named == offered, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(health_page_when_compared_names_existing_dump_members) {
    const auto text = read_source("docs/operations/health.md");
    const auto members = find_in_sources(std::regex{R"re(\{"([a-z_]+)", )re"});
    const auto first = text.find("| program, task |");
    const auto table = text.substr(first, text.find("\n\n", first) - first);
    const std::regex word{"`([a-z_]+)`"};
    std::size_t n = 0;
    for (std::sregex_iterator it{table.begin(), table.end(), word}, end; it != end; ++it, ++n) {
        const auto name = (*it)[1].str();
        const bool is_task = table.find("entry `" + name) != std::string::npos ||
                             table.find("sidecar `" + name) != std::string::npos;
        BOOST_TEST((is_task || members.contains(name)), "no dump has the member " + name);
    }
    BOOST_TEST(n >= 20U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
