#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace jujubemast::tests {

struct route_explanation_fixture : gateway_fixture {
    struct ctl_result {
        int code = 0;
        std::string text;
    };

    std::size_t runs = 0;

    ctl_result explain(const std::vector<std::string>& arguments) {
        std::vector<std::string> all{
            "route", gateways[0]->listening_address("jujubemast-gateway/admin/listener")};
        all.insert(all.end(), arguments.begin(), arguments.end());
        child_process ctl{"jujubemast-ctl", all, directory + "/route-" + std::to_string(runs++)};
        const auto code = ctl.wait();
        return {code, ctl.log()};
    }
};

BOOST_FIXTURE_TEST_SUITE(route_explanation_test, route_explanation_fixture)

// Guards against an explanation that differs from what the gateway then does.
BOOST_AUTO_TEST_CASE(route_that_is_explained_lists_the_instances_and_sends_nothing) {
    const auto sends = [&] {
        const auto log = gateways[0]->log();
        std::size_t n = 0;
        for (auto at = log.find("Sent."); at != std::string::npos; at = log.find("Sent.", at + 1)) {
            ++n;
        }
        return n;
    };
    const auto before = sends();
    const auto [code, text] = explain({"a.example", "/read/x", "prompt=p:100,u:5"});
    BOOST_TEST(code == 0, text);
    BOOST_TEST(text.find("at gateway g0 in z") != std::string::npos, text);
    BOOST_TEST(text.find("chosen") != std::string::npos, text);
    BOOST_TEST(sends() == before);
}

BOOST_AUTO_TEST_CASE(route_that_is_explained_as_json_names_the_chosen_instance) {
    const auto [code, text] = explain({"a.example", "/read/x", "--output=json"});
    BOOST_TEST(code == 0, text);
    const auto begin = text.find('{');
    BOOST_TEST_REQUIRE(begin != std::string::npos, text);
    const auto end = text.rfind('}');
    const auto value = boost::json::parse(text.substr(begin, end - begin + 1));
    const auto& service = value.at("services").at(0).as_object();
    BOOST_TEST(!service.at("chosen").as_string().empty());
    BOOST_TEST(!service.at("candidates").as_array().empty());
}

// Guards against bad input that is answered with something else than its error.
BOOST_AUTO_TEST_CASE(route_with_bad_input_gets_an_error_and_an_exit_code) {
    const auto unknown = explain({"nobody.example", "/x"});
    BOOST_TEST(unknown.code == 1);
    BOOST_TEST(unknown.text.find("no route for host nobody.example") != std::string::npos,
               unknown.text);
    const auto malformed = explain({"a.example", "/read/x", "prompt=p"});
    BOOST_TEST(malformed.code == 2);
    BOOST_TEST(malformed.text.find("prompt: 'p'") != std::string::npos, malformed.text);
    const auto misspelt = explain({"a.example", "/read/x", "promt=p:1"});
    BOOST_TEST(misspelt.code == 2);
    BOOST_TEST(misspelt.text.find("'promt=p:1'") != std::string::npos, misspelt.text);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
