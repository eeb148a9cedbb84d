#include "load/statistics.h"

#include <cmath>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "load/response_document.h"
#include "load/verification.h"
#include "support/experiments.h"

namespace jujubemast::tests {

using namespace std::chrono_literals;

struct statistics_fixture {
    load::experiment source = load::parse_experiment(small_experiment(), "small");
    load::run_statistics statistics{source};

    static load::request_outcome outcome(load::request_result result, common::duration latency) {
        load::request_outcome it;
        it.traffic = "lookup";
        it.workspace = "small";
        it.priority = common::priority::urgent;
        it.deadline = 2s;
        it.result = result;
        it.latency = latency;
        return it;
    }

    load::planned_request request() const {
        load::planned_request it;
        it.pipeline = &source.pipelines.at("lookup");
        it.workspace = &source.workspaces.at("small");
        it.traffic = &source.traffic.front();
        it.input = "question";
        it.max_tokens = 4;
        return it;
    }
};

BOOST_FIXTURE_TEST_SUITE(statistics_test, statistics_fixture)

BOOST_AUTO_TEST_CASE(quantiles_when_values_are_known_are_exact) {
    std::vector<float> values;
    for (int n = 1000; n > 0; --n) {
        values.push_back(static_cast<float>(n));
    }
    const auto result = load::quantiles_of(values);
    BOOST_TEST(std::abs(result.p50 - 500.0) <= 1.0);
    BOOST_TEST(std::abs(result.p95 - 950.0) <= 1.0);
    BOOST_TEST(std::abs(result.p99 - 990.0) <= 1.0);
    BOOST_TEST(result.max == 1000.0);
    BOOST_TEST(load::quantiles_of({}).p99 == 0.0);
    BOOST_TEST(load::quantiles_of({3.0F}).p99 == 3.0);
}

// Guards against late or refused requests that are counted as completed within the deadline.
BOOST_AUTO_TEST_CASE(statistics_when_requests_are_late_or_refused_count_only_timely_ones) {
    statistics.add(outcome(load::request_result::answered, 1s));
    statistics.add(outcome(load::request_result::answered, 3s));
    auto refused = outcome(load::request_result::not_run, 1ms);
    refused.reason = "overloaded";
    statistics.add(refused);
    statistics.add(outcome(load::request_result::wrong, 1ms));
    const auto document = statistics.to_json();
    const auto& urgent = document.at("phases").at(0).at("priorities").at("urgent");
    BOOST_TEST(urgent.at("sent").to_number<int>() == 4);
    BOOST_TEST(urgent.at("share_within_deadline").as_double() == 0.25);
    BOOST_TEST(urgent.at("reasons").at("overloaded").to_number<int>() == 1);
    BOOST_TEST(urgent.at("latency_ms").at("max").as_double() == 3000.0);
    BOOST_TEST(statistics.to_table().find("25.00%") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(statistics_when_stages_are_repeated_report_extra_work) {
    auto answered = outcome(load::request_result::answered, 1s);
    answered.stages = {{"encode", "e-0", 1, 5ms, 1ms, 4ms}};
    statistics.add(answered);
    answered.stages.front().attempts = 2;
    statistics.add(answered);
    const auto document = statistics.to_json();
    const auto& stage = document.at("phases").at(0).at("stages").at("encode");
    BOOST_TEST(stage.at("extra_work").as_double() == 0.5);
    BOOST_TEST(stage.at("service_ms").at("p50").as_double() == 4.0);
    // Two timely requests of 4 ms service time each in a phase of 60 s.
    BOOST_TEST(std::abs(stage.at("useful_slots").as_double() - 0.008 / 60.0) < 1e-9);
}

// Guards against a response that belongs to another request and is not noticed.
BOOST_AUTO_TEST_CASE(consistency_check_when_responses_are_mixed_up_reports_errors) {
    const auto check = load::make_consistency_check();
    load::response_content response{"id-1", "output", {{"encode"}, {"generate"}}};
    BOOST_TEST(check(request(), response) == "");
    BOOST_TEST(check(request(), response) == "two responses have the request id id-1");
    response.request_id = "id-2";
    BOOST_TEST(check(request(), response) == "");
    response.request_id = "id-3";
    response.output = "other output";
    BOOST_TEST(check(request(), response) == "equal requests got different output");
    response.request_id = "id-4";
    response.stages.pop_back();
    BOOST_TEST(check(request(), response) == "the response has 1 stages instead of 2");
}

BOOST_AUTO_TEST_CASE(problem_when_decoded_gives_name_and_execution) {
    const auto problem = load::decode_problem(
        R"({"type":"urn:jujubemast:problem:overloaded","execution":"not_run"})", 503);
    BOOST_TEST(problem.name == "overloaded");
    BOOST_TEST((problem.result == load::request_result::not_run));
    BOOST_TEST(load::decode_problem("<html>", 502).name == "status_502");
    BOOST_TEST((load::decode_problem("{}", 502).result == load::request_result::unknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
