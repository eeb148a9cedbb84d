#include <algorithm>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "entry/entry_settings.h"
#include "gateway/gateway_settings.h"
#include "sidecar/sidecar_settings.h"
#include "support/pages.h"

namespace jujubemast::tests {

struct settings_page_fixture {
    std::string page = read_source("docs/operations/settings.md");

    /// Rewrites a line "section.key (default X): meaning" of --help as a row of the page.
    static std::string row_of(const std::string& line) {
        const auto open = line.find(" (");
        const auto close = line.find("): ", open);
        auto value = line.substr(open + 2, close - open - 2);
        if (value.starts_with("default ")) {
            value = "`" + value.substr(8) + "`";
        }
        return "| `" + line.substr(0, open) + "` | " + value + " | " + line.substr(close + 3) +
               " |";
    }

    void check(const std::string& program, const settings::table& table) const {
        std::size_t n = 0;
        std::istringstream lines{settings::describe(table)};
        for (std::string line; std::getline(lines, line); ++n) {
            const auto row = row_of(line);
            const bool found = page.find("\n" + row + "\n") != std::string::npos;
            BOOST_TEST(found, "the page lacks this row (run scripts/settings-tables): " + row);
        }
        const auto rows = table_rows(page, "## " + program);
        BOOST_TEST(rows.size() == n);
        for (const auto& it : first_cells(rows)) {
            const bool known = settings::describe(table).find(it + " (") != std::string::npos;
            BOOST_TEST(known, "the program has no setting " + it);
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(settings_page_test, settings_page_fixture)

// Guards against a setting that the page omits or describes with an old default or description.
BOOST_AUTO_TEST_CASE(settings_page_when_compared_has_the_entry_settings) {
    check("jujubemast-entry", entry::entry_settings::table);
}

BOOST_AUTO_TEST_CASE(settings_page_when_compared_has_the_sidecar_settings) {
    check("jujubemast-sidecar", sidecar::sidecar_settings::table);
}

BOOST_AUTO_TEST_CASE(settings_page_when_compared_has_the_gateway_settings) {
    check("jujubemast-gateway", gateway::gateway_settings::table);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
