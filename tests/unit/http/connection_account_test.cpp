#include "http/connection_account.h"

#include <vector>

#include <boost/test/unit_test.hpp>

#include "common/random.h"

namespace jujubemast::tests {

struct connection_account_fixture {
    std::shared_ptr<http::server_memory> memory = std::make_shared<http::server_memory>();

    connection_account_fixture() {
        memory->input = http::buffer_budget{1000};
        memory->bodies = http::buffer_budget{4000};
        memory->output = http::buffer_budget{2000};
        memory->connection_limit = 1500;
    }
};

BOOST_FIXTURE_TEST_SUITE(connection_account_test, connection_account_fixture)

BOOST_AUTO_TEST_CASE(connection_at_its_limit_gets_no_more_for_any_use) {
    http::connection_account subject{memory};
    BOOST_TEST(subject.set(http::memory_use::body, 1000));
    BOOST_TEST(subject.set(http::memory_use::output, 400));
    BOOST_TEST(!subject.set(http::memory_use::input, 101));
    BOOST_TEST(subject.set(http::memory_use::input, 100));
    BOOST_TEST(subject.total() == 1500U);
}

// Guards against a share that one connection exceeds by dividing what it holds between two uses.
BOOST_AUTO_TEST_CASE(uses_with_the_same_budget_count_as_one_holder) {
    http::connection_account subject{memory};
    BOOST_TEST(subject.set(http::memory_use::input, 300));
    BOOST_TEST(!subject.set(http::memory_use::header, 201));
    BOOST_TEST(subject.set(http::memory_use::header, 200));
}

// Guards against memory that stays accounted for after its connection has ended, and against sums
// beyond the budgets.
BOOST_AUTO_TEST_CASE(sums_of_any_connections_stay_within_the_budgets_and_end_at_zero) {
    const auto random = common::seeded_random(20261209);
    std::vector<std::unique_ptr<http::connection_account>> accounts(10);
    for (int n = 0; n < 20'000; ++n) {
        auto& account = accounts[common::uniform_below(random, accounts.size())];
        if (!account || common::uniform_below(random, 20) == 0) {
            account = std::make_unique<http::connection_account>(memory);
        }
        const auto use = static_cast<http::memory_use>(common::uniform_below(random, 4));
        const auto former = account->held(use);
        const auto size = common::uniform_below(random, 1000);
        const bool accepted = account->set(use, size);
        BOOST_REQUIRE(account->held(use) == (accepted ? size : former));
        BOOST_REQUIRE(account->total() <= memory->connection_limit);
        BOOST_REQUIRE(memory->input.reserved() <= 1000U);
        BOOST_REQUIRE(memory->bodies.reserved() <= 4000U);
        BOOST_REQUIRE(memory->output.reserved() <= 2000U);
    }
    accounts.clear();
    BOOST_TEST(memory->input.reserved() == 0U);
    BOOST_TEST(memory->bodies.reserved() == 0U);
    BOOST_TEST(memory->output.reserved() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
