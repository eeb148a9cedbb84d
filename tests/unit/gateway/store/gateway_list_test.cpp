#include "gateway/store/gateway_list.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;

struct gateway_list_fixture {
    common::time_point now{std::chrono::seconds{100}};
    gateway_list subject;

    gateway_list_fixture() {
        put("a");
        put("b");
    }

    void put(const std::string& name) { subject.put(name, gateway_record{name, "10.0.0.1:1", 7}); }
};

BOOST_FIXTURE_TEST_SUITE(gateway_list_test, gateway_list_fixture)

BOOST_AUTO_TEST_CASE(gateway_missing_when_the_table_is_read_is_removed) {
    subject.begin_replace(now);
    put("a");
    BOOST_TEST(subject.size() == 1U);
    subject.put("a", std::nullopt);
    BOOST_TEST(subject.all().empty());
}

// Guards against limits that are divided among too few gateways after a restore of the store.
BOOST_AUTO_TEST_CASE(gateway_missing_in_a_restored_store_is_kept_until_it_could_register_again) {
    subject.record_restore(now);
    subject.begin_replace(now);
    put("a");
    BOOST_TEST(subject.size() == 2U);
    BOOST_TEST((subject.find_stored("a") != nullptr));
    // A gateway that finds its own row missing registers again.
    BOOST_TEST((subject.find_stored("b") == nullptr));
    BOOST_TEST(!subject.expire(now));
    BOOST_TEST(subject.expire(now + gateway_list::reregistration_time));
    BOOST_TEST(subject.size() == 1U);
}

BOOST_AUTO_TEST_CASE(gateway_that_registers_again_after_a_restore_stays) {
    subject.record_restore(now);
    subject.begin_replace(now);
    put("b");
    put("a");
    BOOST_TEST(!subject.expire(now + gateway_list::reregistration_time));
    BOOST_TEST(subject.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
