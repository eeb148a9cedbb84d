#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <regex>
#include <string>
#include <string_view>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

namespace {

/// A folder of the gateway and the other folders that its files may include. Every folder may
/// include the headers at the top, which hold the types and messages that all parts share.
struct folder_rule {
    std::string_view folder;
    std::vector<std::string_view> may_include;
};

const std::array<folder_rule, 6> rules{{
    {"store", {}},
    {"instances", {}},
    {"evidence", {}},
    {"stages", {"instances"}},
    {"requests", {"instances", "stages", "evidence"}},
    {"peers", {"store"}},
}};

// The tree starts the tasks, so it includes them all.
constexpr std::string_view tree_file = "gateway_tree.cpp";

} // namespace

struct include_direction_fixture {
    std::filesystem::path root{std::filesystem::path{JUJUBEMAST_SOURCE_DIR} /
                               "source/core/gateway"};

    /// Returns the gateway's folders that a file includes; an empty name stands for the top.
    static std::vector<std::string> included_folders(const std::filesystem::path& file) {
        static const std::regex pattern{"#include \"gateway/(?:([a-z_]+)/)?[a-z_]+\\.h\""};
        std::ifstream in{file};
        std::vector<std::string> result;
        std::smatch match;
        for (std::string line; std::getline(in, line);) {
            if (std::regex_search(line, match, pattern)) {
                result.push_back(match[1].str());
            }
        }
        return result;
    }
};

BOOST_FIXTURE_TEST_SUITE(include_direction_test, include_direction_fixture)

// Guards against parts of the gateway that depend on each other in a cycle.
BOOST_AUTO_TEST_CASE(folder_includes_only_the_folders_below_it) {
    for (const auto& rule : rules) {
        for (const auto& entry : std::filesystem::directory_iterator{root / rule.folder}) {
            for (const auto& it : included_folders(entry.path())) {
                const bool allowed = it.empty() || it == rule.folder ||
                                     std::find(rule.may_include.begin(), rule.may_include.end(),
                                               it) != rule.may_include.end();
                BOOST_TEST(allowed, entry.path().filename() << " includes " << it);
            }
        }
    }
}

// Guards against shared types that depend on one of the parts.
BOOST_AUTO_TEST_CASE(top_folder_includes_no_part_except_in_the_tree) {
    for (const auto& entry : std::filesystem::directory_iterator{root}) {
        if (entry.is_directory() || entry.path().filename() == tree_file) {
            continue;
        }
        for (const auto& it : included_folders(entry.path())) {
            BOOST_TEST(it.empty(), entry.path().filename() << " includes " << it);
        }
    }
}

// Guards against a new folder that no rule covers.
BOOST_AUTO_TEST_CASE(folder_without_a_rule_does_not_exist) {
    for (const auto& entry : std::filesystem::directory_iterator{root}) {
        const auto name = entry.path().filename().string();
        const bool known =
            !entry.is_directory() || std::any_of(rules.begin(), rules.end(),
                                                 [&](const auto& it) { return it.folder == name; });
        BOOST_TEST(known, name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
