#include "gateway/requests/route_question.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway::requests;

struct route_question_fixture {
    static std::string error_of(std::string_view query) {
        try {
            decode_route_question(query);
        } catch (const common::format_error& e) {
            return e.what();
        }
        return {};
    }
};

BOOST_FIXTURE_TEST_SUITE(route_question_test, route_question_fixture)

BOOST_AUTO_TEST_CASE(question_with_all_parameters_is_decoded) {
    const auto asked = decode_route_question(
        "host=h&path=/v1%2Fx%20y&prompt=a:b:10,u:2&results=fd-1:800000,fd-2:5&tried=i1,i2");
    BOOST_TEST(asked.host == "h");
    BOOST_TEST(asked.path == "/v1/x y");
    BOOST_TEST_REQUIRE(asked.prompt.size() == 2U);
    BOOST_TEST(asked.prompt[0].id == "a:b");
    BOOST_TEST(asked.prompt[0].tokens == 10U);
    BOOST_TEST_REQUIRE(asked.results.size() == 2U);
    BOOST_TEST(asked.results[0].bytes == 800'000);
    BOOST_TEST((asked.tried == std::vector<std::string>{"i1", "i2"}));
}

// Guards against an answer to another question than the operator asked.
BOOST_AUTO_TEST_CASE(question_that_is_malformed_names_the_parameter) {
    BOOST_TEST(error_of("path=/").find("host") != std::string::npos);
    BOOST_TEST(error_of("host=h&path=x").find("path") != std::string::npos);
    BOOST_TEST(error_of("host=h&path=/&promt=a:1").find("'promt'") != std::string::npos);
    for (const auto* value : {"a", "a:", ":1", "a:1x", "a:-1", "a:99999999999"}) {
        BOOST_TEST(error_of(std::string{"host=h&path=/&prompt="} + value).find("prompt") !=
                   std::string::npos);
        BOOST_TEST(error_of(std::string{"host=h&path=/&results="} + value).find("results") !=
                   std::string::npos);
    }
    BOOST_TEST(error_of("host=%4&path=/").find("percent") != std::string::npos);
    BOOST_TEST(error_of("host=%zz&path=/").find("percent") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
