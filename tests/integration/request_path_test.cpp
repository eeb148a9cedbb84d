#include <string>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "standins/stage_content.h"
#include "support/deployment.h"
#include "support/http_call.h"

namespace jujubemast::tests {

struct request_path_fixture {
    deployment system;

    request_path_fixture() {
        system.add_pool("encoders", "service", 2);
        system.add_pool("retrievers", "service", 1);
        system.add_pool("rerankers", "service", 1);
        system.add_pool("jujube-pool", "engine", 2, {"--step_us=500"});
        system.add_entry();
        system.add_entry();
        system.publish_membership();
        system.accept_ticket(standard_ticket());
        system.wait_until_ready();
    }

    /// Returns the output that the stages compute for the input.
    static std::string expected_output(const std::string& input, std::uint64_t tokens) {
        std::string context;
        for (const auto* operation : {"encode", "retrieve", "rerank"}) {
            context = standins::service_output(operation, input, context);
        }
        return standins::engine_output(input, context, tokens);
    }

    static std::string body(const std::string& input, int tokens, bool stream = false) {
        return boost::json::serialize(
            boost::json::object{{"input", input}, {"max_tokens", tokens}, {"stream", stream}});
    }
};

BOOST_FIXTURE_TEST_SUITE(request_path_test, request_path_fixture)

// Guards against failures anywhere on the path of a request, from the caller through all stages and
// back.
BOOST_AUTO_TEST_CASE(entry_when_each_pipeline_is_called_returns_the_output_of_its_stages) {
    for (std::size_t entry = 0; entry < 2; ++entry) {
        for (const std::string pipeline : {"draft", "lookup", "voice", "tag"}) {
            const auto input = pipeline + " through entry " + std::to_string(entry);
            const auto response = system.submit(entry, pipeline, body(input, 12));
            BOOST_TEST_REQUIRE(response.status == 200U, response.body);
            const auto document = boost::json::parse(response.body);
            BOOST_TEST(document.at("output").as_string() == expected_output(input, 12));
            BOOST_TEST(document.at("stages").as_array().size() == 4U);
        }
    }
}

BOOST_AUTO_TEST_CASE(entry_when_streaming_sends_tokens_and_the_whole_output) {
    const auto response = system.submit(0, "voice", body("question", 8, true));
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body.find("event: token") != std::string::npos);
    const auto done = response.body.find("event: done\ndata: ");
    BOOST_TEST_REQUIRE(done != std::string::npos);
    const auto begin = done + std::string{"event: done\ndata: "}.size();
    const auto document =
        boost::json::parse(response.body.substr(begin, response.body.find('\n', begin) - begin));
    BOOST_TEST(document.at("output").as_string() == expected_output("question", 8));
}

// Guards against callers that use a workspace without its key, and against a refusal that does not
// say that nothing was run.
BOOST_AUTO_TEST_CASE(entry_when_key_is_wrong_refuses_as_not_run) {
    const auto response = call(system.entry_address(0), {"POST",
                                                         "/v1/pipelines/draft/requests",
                                                         {{"Authorization", "Bearer wrong"}},
                                                         body("x", 1)});
    BOOST_TEST(response.status == 401U);
    BOOST_TEST(boost::json::parse(response.body).at("execution").as_string() == "not_run");
}

// Guards against a planned stop that ends with an error code.
BOOST_AUTO_TEST_CASE(programs_when_terminated_end_with_code_zero) {
    system.entry(0).send_signal(SIGTERM);
    BOOST_TEST(system.entry(0).wait() == 0);
    auto& sidecar = *system.upstreams().front().sidecar;
    sidecar.send_signal(SIGTERM);
    BOOST_TEST(sidecar.wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
