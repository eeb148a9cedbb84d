#include "integration/gateway_fixture.h"

namespace jujubemast::tests {

/// Requests on a route whose second stage depends on the first one.
struct omitted_stage_fixture : gateway_fixture {
    int attempts = 0;

    received_response send_draft(const std::string& attempt, const std::string& counts) const {
        return send("POST", "/draft/1", attempt,
                    {{"X-Model", "m"}, {"X-Pieces", counts}, {"X-Piece-Key", "k"}});
    }
};

BOOST_FIXTURE_TEST_SUITE(omitted_stage_test, omitted_stage_fixture)

// Guards against an answer that rests on pieces which were made from the key of the request instead
// of inputs, because the request omits the stage before.
BOOST_AUTO_TEST_CASE(request_that_omits_the_inputs_of_a_stage_is_refused_at_once) {
    for (const auto* counts : {"0,2", "1,2,1"}) {
        BOOST_TEST_CONTEXT("X-Pieces: " << counts) {
            const auto attempt = "draft-" + std::to_string(++attempts);
            const auto begin = std::chrono::steady_clock::now();
            BOOST_TEST(send_draft(attempt, counts).status == 400U);
            BOOST_TEST((std::chrono::steady_clock::now() - begin < std::chrono::seconds{1}));
            BOOST_TEST(records(attempt).empty());
        }
    }
}

// Guards against requests that no upstream accepts, because they lack the results of the last stage
// that the request does not omit.
BOOST_AUTO_TEST_CASE(request_that_omits_the_last_stage_gets_the_results_of_the_one_before) {
    for (const auto* counts : {"2,0", "2"}) {
        BOOST_TEST_CONTEXT("X-Pieces: " << counts) {
            const auto attempt = "draft-" + std::to_string(++attempts);
            BOOST_TEST(send_draft(attempt, counts).complete);
            const auto calls = records(attempt);
            BOOST_REQUIRE(calls.size() == 2U);
            const auto& inputs = calls.back().at("inputs").as_string();
            BOOST_TEST(std::count(inputs.begin(), inputs.end(), ',') == 1);
        }
    }
}

// Guards against the refusal of requests that need no stage.
BOOST_AUTO_TEST_CASE(request_that_omits_all_stages_is_served_without_inputs) {
    for (const auto* counts : {"0,0", "0"}) {
        BOOST_TEST_CONTEXT("X-Pieces: " << counts) {
            const auto attempt = "draft-" + std::to_string(++attempts);
            BOOST_TEST(send_draft(attempt, counts).complete);
            const auto calls = records(attempt);
            BOOST_REQUIRE(calls.size() == 1U);
            BOOST_TEST(calls.back().at("inputs").as_string().empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
