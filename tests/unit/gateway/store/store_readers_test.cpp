#include "gateway/store/store_readers.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;

struct store_readers_fixture {
    std::vector<owner_candidate> gateways;

    store_readers_fixture() {
        for (int n = 0; n < 20; ++n) {
            gateways.push_back({"g" + std::to_string(n), 0.2});
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(store_readers_test, store_readers_fixture)

BOOST_AUTO_TEST_CASE(store_readers_do_not_depend_on_the_order_of_the_gateways) {
    const auto readers = choose_store_readers(gateways);
    BOOST_TEST(readers.size() == store_readers_per_domain);
    std::reverse(gateways.begin(), gateways.end());
    BOOST_TEST(choose_store_readers(gateways) == readers, boost::test_tools::per_element());
}

// Guards against a failure of one reader that makes others change their roles.
BOOST_AUTO_TEST_CASE(store_readers_after_the_loss_of_one_keep_the_other) {
    const auto before = choose_store_readers(gateways);
    std::erase_if(gateways, [&](const auto& it) { return it.name == before[0]; });
    const auto after = choose_store_readers(gateways);
    BOOST_TEST(after[0] == before[1]);
    BOOST_TEST(after[1] != before[0]);
}

BOOST_AUTO_TEST_CASE(store_readers_prefer_large_gateways_and_are_never_too_few) {
    gateways = {{"a", 0.09}, {"b", 0.5}, {"c", 0.09}};
    const auto readers = choose_store_readers(gateways);
    BOOST_REQUIRE(readers.size() == 2U);
    BOOST_TEST(readers[0] == "b");
    gateways = {{"a", 0.09}};
    BOOST_TEST(choose_store_readers(gateways) == (std::vector<std::string>{"a"}),
               boost::test_tools::per_element());
    BOOST_TEST(choose_store_readers({}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
