#include <filesystem>
#include <regex>

#include <boost/test/unit_test.hpp>

#include "support/pages.h"

namespace jujubemast::tests {

struct page_links_fixture {
    std::filesystem::path root{JUJUBEMAST_SOURCE_DIR};

    /// Checks that the relative links of a page lead to files of the repository. Returns how many
    /// there are.
    std::size_t check(const std::filesystem::path& page) const {
        const auto text = read_source(std::filesystem::relative(page, root).string());
        const std::regex link{R"re(\]\(([^)#:]+)(#[^)]*)?\))re"};
        std::size_t n = 0;
        for (std::sregex_iterator it{text.begin(), text.end(), link}, end; it != end; ++it, ++n) {
            BOOST_TEST(std::filesystem::exists(page.parent_path() / (*it)[1].str()),
                       page.filename().string() << " links to " << (*it)[1].str());
        }
        return n;
    }
};

BOOST_FIXTURE_TEST_SUITE(page_links_test, page_links_fixture)

// Guards against links to files that were moved or renamed.
BOOST_AUTO_TEST_CASE(page_links_when_followed_lead_to_files) {
    auto n = check(root / "README.md") + check(root / "CONTRIBUTING.md");
    for (const auto& it : std::filesystem::recursive_directory_iterator{root / "docs"}) {
        n += it.path().extension() == ".md" ? check(it.path()) : 0;
    }
    BOOST_TEST(n >= 50U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
