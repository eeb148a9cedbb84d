#include "ctl/route_command.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "common/error.h"

namespace jujubemast::tests {

using namespace jujubemast::ctl;

struct route_command_fixture {
    boost::json::value explained = boost::json::parse(R"({
        "route":"answers","gateway":"g1","domain":"fd-0","services":[{
            "service":"chat","weight":1,"chosen":"e2","placement":"moved_to_inputs",
            "target_domain":"","candidates":[
                {"upstream":"e1","domain":"fd-0","verdict":"pausing","in_progress":0,"slots":64,
                 "holds_prompt":false,"remote_bytes":8e5,"wait_ms":0,"prompt_ms":0,"cost_ms":20},
                {"upstream":"e2","domain":"fd-1","verdict":"chosen","in_progress":3,"slots":64,
                 "holds_prompt":true,"remote_bytes":0,"wait_ms":0,"prompt_ms":0,"cost_ms":0}]}]})");
};

BOOST_FIXTURE_TEST_SUITE(route_command_test, route_command_fixture)

BOOST_AUTO_TEST_CASE(target_of_a_question_is_percent_encoded) {
    BOOST_TEST(make_route_target({"a:1", "h", "/x y&z", "prompt=p#:1,u:2"}) ==
               "/route?host=h&path=/x%20y%26z&prompt=p%23:1,u:2");
}

BOOST_AUTO_TEST_CASE(target_of_a_question_with_an_unknown_name_is_refused) {
    BOOST_CHECK_THROW(make_route_target({"a:1", "h", "/", "promt=p:1"}), common::error);
    BOOST_CHECK_THROW(make_route_target({"a:1", "h", "/", "prompt"}), common::error);
}

BOOST_AUTO_TEST_CASE(text_of_an_explanation_lists_every_candidate_with_its_reasons) {
    const auto text = to_route_text(explained);
    BOOST_TEST(text.find("chat (weight 1): e2, placement=moved_to_inputs") != std::string::npos);
    BOOST_TEST(text.find("pausing") != std::string::npos);
    BOOST_TEST(text.find("remote_bytes=800000") != std::string::npos);
    BOOST_TEST(text.find("holds_prompt") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(text_without_a_usable_instance_says_so) {
    explained.at("services").at(0).as_object()["chosen"] = "";
    BOOST_TEST(to_route_text(explained).find("no instance takes it now") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
