#include "policy/subset.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::policy;

struct subset_fixture {
    static constexpr std::size_t subset_size = 24;

    static std::vector<subset_member> make_pool(int size) {
        std::vector<subset_member> members;
        members.reserve(size);
        for (int n = 0; n < size; ++n) {
            members.push_back({"engine-" + std::to_string(n), "fd-" + std::to_string(n % 5)});
        }
        return members;
    }
};

BOOST_FIXTURE_TEST_SUITE(subset_test, subset_fixture)

// Guards against replacing all links when one member of a large pool changes.
BOOST_AUTO_TEST_CASE(subset_when_one_member_leaves_changes_one_link) {
    auto members = make_pool(200);
    const auto before = choose_subset("entry-1", "fd-1", members, subset_size);
    BOOST_TEST(before.size() == subset_size);
    const auto removed = before.front();
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(removed));
    const auto after = choose_subset("entry-1", "fd-1", members, subset_size);
    const auto kept = std::count_if(after.begin(), after.end(), [&](std::size_t n) {
        const auto original = n >= removed ? n + 1 : n;
        return std::find(before.begin(), before.end(), original) != before.end();
    });
    BOOST_TEST(kept == 23);
}

// Guards against upstreams of a large pool to which no entry has a link.
BOOST_AUTO_TEST_CASE(subset_when_many_entries_choose_covers_nearly_every_member) {
    const auto members = make_pool(1600);
    std::vector<int> links(members.size());
    for (int entry = 0; entry < 350; ++entry) {
        const auto domain = "fd-" + std::to_string(entry % 5);
        for (const auto n :
             choose_subset("entry-" + std::to_string(entry), domain, members, subset_size)) {
            ++links[n];
        }
    }
    BOOST_TEST(std::count(links.begin(), links.end(), 0) <= 16);
}

BOOST_AUTO_TEST_CASE(subset_when_pool_is_small_takes_all) {
    BOOST_TEST(choose_subset("entry-1", "fd-1", make_pool(10), subset_size).size() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
