#include "policy/shared_limit.h"

#include <algorithm>
#include <numeric>

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::policy;

struct shared_limit_fixture {
    static std::vector<std::string> names(std::size_t count) {
        std::vector<std::string> result;
        for (std::size_t n = 0; n < count; ++n) {
            result.push_back("gateway-" + std::to_string(n));
        }
        return result;
    }

    /// Returns the permits of all processes at each instance.
    static std::vector<std::size_t> sums(std::size_t limit, std::size_t instances,
                                         std::size_t processes) {
        std::vector<std::size_t> total(instances);
        const auto known = names(processes);
        for (const auto& it : known) {
            const auto permits = divide_limit(limit, instances, find_share("pool", it, known));
            std::transform(total.begin(), total.end(), permits.begin(), total.begin(), std::plus{});
        }
        return total;
    }

    static std::size_t total(const std::vector<std::size_t>& permits) {
        return std::accumulate(permits.begin(), permits.end(), std::size_t{0});
    }
};

BOOST_FIXTURE_TEST_SUITE(shared_limit_test, shared_limit_fixture)

// Guards against connections that an upstream resets because all processes together open more than
// it accepts.
BOOST_AUTO_TEST_CASE(limit_when_divided_among_any_number_of_processes_is_not_exceeded) {
    for (const std::size_t limit : {75U, 130U, 470U}) {
        for (const std::size_t instances : {1U, 3U, 5U, 200U}) {
            for (const std::size_t processes : {1U, 4U, 29U, 103U, 350U}) {
                if (static_cast<double>(processes) >
                    static_cast<double>(instances * limit) * divided_share) {
                    continue;
                }
                const auto totals = sums(limit, instances, processes);
                BOOST_TEST(*std::max_element(totals.begin(), totals.end()) <=
                           static_cast<std::size_t>(limit * divided_share));
            }
        }
    }
}

// Guards against instances that get more work than others because more processes may use them.
BOOST_AUTO_TEST_CASE(limit_below_the_number_of_processes_is_spread_evenly_over_the_instances) {
    for (const std::size_t processes : {60U, 103U, 150U, 350U}) {
        const auto totals = sums(130, 5, processes);
        const auto mean = static_cast<double>(total(totals)) / static_cast<double>(totals.size());
        BOOST_TEST(static_cast<double>(*std::max_element(totals.begin(), totals.end())) <=
                   mean * 1.15);
    }
}

// Guards against a process that may use no instance at all and can serve nothing.
BOOST_AUTO_TEST_CASE(process_among_more_processes_than_permits_still_has_one_permit) {
    const auto known = names(350);
    for (const auto& it : known) {
        BOOST_TEST(total(divide_limit(20, 3, find_share("pool", it, known))) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(process_that_is_not_in_the_list_counts_itself) {
    const auto share = find_share("pool", "new", names(4));
    BOOST_TEST(share.count == 5U);
    BOOST_TEST(share.rank < 5U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
