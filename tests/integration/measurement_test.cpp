#include <fstream>
#include <sstream>
#include <string>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "support/deployment.h"
#include "support/http_call.h"

namespace jujubemast::tests {

struct measurement_fixture {
    deployment system;

    measurement_fixture() {
        system.add_pool("encoders", "service", 1);
        system.add_pool("retrievers", "service", 1);
        system.add_pool("rerankers", "service", 1);
        system.add_pool("jujube-pool", "engine", 1, {"--step_us=500"});
        system.add_entry();
        system.add_entry();
        system.publish_membership();
        system.accept_ticket(standard_ticket());
        system.wait_until_ready();
    }

    [[nodiscard]] std::string experiment(const std::string& key) const {
        const std::string stages = "operations: [encode, retrieve, rerank, generate]}\n";
        return system.write_file(
            "experiment.yaml",
            "seed: 11\n"
            "pipelines:\n"
            "  lookup: {priority: urgent, deadline_ms: 20000, " +
                stages + "  tag: {priority: background, deadline_ms: 20000, " + stages +
                "workspaces: {demo: {key: " + key +
                "}}\n"
                "traffic:\n"
                "  lookup: {pipeline: lookup, share: 1, workspaces: {demo: 1}, stream: true,\n"
                "           max_tokens: [2, 6], distinct_inputs: 5}\n"
                "  tag: {pipeline: tag, share: 1, workspaces: {demo: 1}, max_tokens: [3, 3]}\n"
                "phases:\n"
                "  - {name: only, duration_ms: 2000, rate_per_s: 40}\n");
    }

    /// Runs the load generator that checks the output of the stand-ins, and returns its report.
    [[nodiscard]] boost::json::value run_load(const std::string& experiment_path,
                                              const std::string& entries) const {
        const auto result = system.write_file("result.json", "");
        child_process load{
            "checked-load",
            {"--experiment=" + experiment_path, "--entries=" + entries, "--result=" + result},
            system.log_path("load")};
        BOOST_TEST_REQUIRE(load.wait() == 0, load.log());
        std::ostringstream text;
        text << std::ifstream{result}.rdbuf();
        return boost::json::parse(text.str());
    }

    [[nodiscard]] std::string both_entries() const {
        return system.entry_address(0) + "," + system.entry_address(1);
    }
};

BOOST_FIXTURE_TEST_SUITE(measurement_test, measurement_fixture)

BOOST_AUTO_TEST_CASE(load_when_the_system_is_idle_finds_every_response_correct_and_in_time) {
    const auto result = run_load(experiment("demo-key"), both_entries());
    BOOST_TEST(result.at("wrong_answers").to_number<int>() == 0);
    const auto& phase = result.at("phases").at(0);
    BOOST_TEST(phase.at("all").at("sent").to_number<int>() > 40);
    BOOST_TEST(phase.at("all").at("share_within_deadline").as_double() == 1.0);
    const auto& urgent = phase.at("priorities").at("urgent");
    BOOST_TEST(urgent.at("first_token_ms").at("count").to_number<int>() ==
               urgent.at("sent").to_number<int>());
    BOOST_TEST(urgent.at("token_gap_ms").at("count").to_number<int>() > 0);
    BOOST_TEST(phase.at("stages").as_object().size() == 4U);
}

// Guards against refused requests that the report counts as completed or omits.
BOOST_AUTO_TEST_CASE(load_when_the_key_is_wrong_reports_every_request_as_not_run) {
    const auto result = run_load(experiment("wrong-key"), both_entries());
    const auto& all = result.at("phases").at(0).at("all");
    const auto sent = all.at("sent").to_number<int>();
    BOOST_TEST(sent > 40);
    BOOST_TEST(all.at("results").at("not_run").to_number<int>() == sent);
    BOOST_TEST(all.at("reasons").at("not_authenticated").to_number<int>() == sent);
    BOOST_TEST(all.at("share_within_deadline").as_double() == 0.0);
}

// Guards against a load generator that never ends, or loses requests, when an entry was killed.
BOOST_AUTO_TEST_CASE(load_when_one_entry_is_gone_uses_the_other_and_ends) {
    const auto entries = both_entries();
    system.entry(0).send_signal(SIGKILL);
    BOOST_TEST(system.entry(0).wait() == 128 + SIGKILL);
    const auto result = run_load(experiment("demo-key"), entries);
    BOOST_TEST(result.at("phases").at(0).at("all").at("share_within_deadline").as_double() == 1.0);
}

BOOST_AUTO_TEST_CASE(metrics_when_requests_have_ended_count_them_by_priority_and_outcome) {
    const auto result = run_load(experiment("demo-key"), system.entry_address(0));
    BOOST_TEST(result.at("wrong_answers").to_number<int>() == 0);
    const auto entry = call(system.entry_admin_address(0), {"GET", "/metrics", {}, {}});
    BOOST_TEST(entry.status == 200U);
    for (const auto* expected :
         {"# TYPE jujubemast_requests_total counter",
          "# TYPE jujubemast_stage_service_seconds summary",
          "jujubemast_stage_service_seconds{stage=\"encode\",quantile=\"0.95\"} 0.",
          "jujubemast_requests_in_progress 0"}) {
        BOOST_TEST(entry.body.find(expected) != std::string::npos, expected << entry.body);
    }
    const std::string answered =
        R"(jujubemast_requests_total{priority="urgent",outcome="answered",execution="ran"} )";
    BOOST_TEST(entry.body.find(answered) != std::string::npos);
    BOOST_TEST(entry.body.find(answered + "0\n") == std::string::npos);
    const auto admin =
        system.upstreams().front().sidecar->listening_address("jujubemast-sidecar/admin/listener");
    const auto sidecar = call(admin, {"GET", "/metrics", {}, {}});
    BOOST_TEST(sidecar.body.find("jujubemast_accepted_total{priority=\"background\"}") !=
               std::string::npos);
    BOOST_TEST(sidecar.body.find("jujubemast_queued{priority=\"urgent\"} 0") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
