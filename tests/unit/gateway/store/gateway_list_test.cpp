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

    static gateway_record record(const std::string& name, std::uint64_t incarnation = 7) {
        return {name, "10.0.0.1:1", incarnation};
    }

    void put(const std::string& name) { subject.put(name, record(name)); }
};

BOOST_FIXTURE_TEST_SUITE(gateway_list_test, gateway_list_fixture)

BOOST_AUTO_TEST_CASE(gateway_missing_when_the_table_is_read_is_removed) {
    subject.replace({{"a", record("a")}}, now);
    BOOST_TEST(subject.size() == 1U);
    subject.put("a", std::nullopt);
    BOOST_TEST(subject.all().empty());
}

// Guards against limits that are divided among too few gateways after a restore of the store.
BOOST_AUTO_TEST_CASE(gateway_missing_in_a_restored_store_is_kept_until_it_could_register_again) {
    subject.record_restore(now);
    subject.replace({{"a", record("a")}}, now);
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
    subject.replace({{"b", record("b")}}, now);
    put("a");
    BOOST_TEST(!subject.expire(now + gateway_list::reregistration_time));
    BOOST_TEST(subject.size() == 2U);
}

// Guards against links that are closed and messages that are dropped, because the older copy holds
// the row of an earlier start of a gateway.
BOOST_AUTO_TEST_CASE(gateway_whose_earlier_start_is_in_a_restored_store_stays_as_it_was) {
    subject.record_restore(now);
    subject.replace({{"a", record("a", 6)}, {"b", record("b")}, {"c", record("c")}}, now);
    BOOST_TEST(subject.all().at(0).incarnation == 7U);
    BOOST_TEST(subject.size() == 3U);
    // Its own gateway finds that it has to register again.
    BOOST_TEST(subject.find_stored("a")->incarnation == 6U);
    BOOST_TEST(subject.expire(now + gateway_list::reregistration_time));
    BOOST_TEST(subject.all().at(0).incarnation == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
