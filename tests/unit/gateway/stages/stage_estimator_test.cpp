#include "gateway/stages/stage_estimator.h"

#include <boost/test/unit_test.hpp>

#include "gateway/stages/stage_admission.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::stages;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// An estimator for a route with one stage, whose service has three instances.
struct stage_estimator_fixture {
    static constexpr common::time_point start{seconds{100}};

    stage_estimator subject;
    configuration config;
    stage_progress progress;

    stage_estimator_fixture() {
        config.services["s"] = {"s", std::nullopt,
                                piece_limits{.batch = 8,
                                             .call_time = milliseconds{240},
                                             .piece_time = milliseconds{26},
                                             .result_memory_bytes = 9.6e6,
                                             .result_lifetime = seconds{4}}};
        route staged;
        staged.latency_target = seconds{2};
        staged.stages = {{"s", {}, 8000}};
        config.routes = {staged};
        progress = stage_progress{staged.stages, {1}};
        upstream_map known;
        for (const auto* id : {"a", "b", "c"}) {
            known[id] = {.id = id, .service = "s"};
        }
        subject.set_upstreams(std::make_shared<const upstream_map>(known));
    }

    staged_request request_at(common::time_point now) const {
        return {config, config.routes[0], progress, 0, now + config.routes[0].latency_target};
    }

    bool admits_at(common::time_point now) const {
        return decide_admission(subject, request_at(now), "pool", seconds{8}, now).outcome ==
               admission_outcome::admitted;
    }

    static service_backlog busy() {
        return {"s", {{.priority = 0, .range = 2, .pieces = 200}}, 3, 3};
    }
};

BOOST_FIXTURE_TEST_SUITE(stage_estimator_test, stage_estimator_fixture)

// Guards against requests that are refused for ever for the backlog of an owner that is gone: no
// order reaches the next owner, so it never reports another one.
BOOST_AUTO_TEST_CASE(backlog_without_a_further_report_expires) {
    subject.record_backlog(busy(), start);
    BOOST_TEST(!admits_at(start + milliseconds{100}));
    BOOST_TEST(!admits_at(start + seconds{1}));
    BOOST_TEST(admits_at(start + seconds{3}));
    BOOST_TEST(!subject.report_age(config.routes[0], start + seconds{3}).has_value());
}

// Guards against LOST of issue 54: streams that callers take up again are refused for a latency
// target that their first event has met or missed already.
BOOST_AUTO_TEST_CASE(request_that_resumes_a_stream_is_admitted_if_its_caller_waits_long_enough) {
    auto request = request_at(start);
    subject.record_backlog(busy(), start);
    const auto fresh = decide_admission(subject, request, "pool", seconds{8}, start);
    BOOST_TEST((fresh.outcome == admission_outcome::overloaded));
    request.resumes = true;
    const auto resumed = decide_admission(subject, request, "pool", fresh.expected, start);
    BOOST_TEST((resumed.outcome == admission_outcome::admitted));
    const auto hopeless = decide_admission(subject, request, "pool", fresh.expected / 2, start);
    BOOST_TEST((hopeless.outcome == admission_outcome::overloaded));
}

BOOST_AUTO_TEST_CASE(backlog_that_is_reported_again_stays_valid) {
    for (int n = 0; n < 20; ++n) {
        subject.record_backlog(busy(), start + milliseconds{200} * n);
    }
    BOOST_TEST(!admits_at(start + seconds{4}));
}

// Guards against an idle service that counts as unknown: its owner reports nothing while it is
// idle.
BOOST_AUTO_TEST_CASE(report_of_an_idle_service_stays_valid) {
    subject.record_backlog({"s", {}, 1, 0}, start);
    const auto age = subject.report_age(config.routes[0], start + seconds{60});
    BOOST_TEST((age == seconds{60}));
    BOOST_TEST(admits_at(start + seconds{60}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
