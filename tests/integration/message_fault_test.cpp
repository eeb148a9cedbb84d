#include "failure_fixture.h"

namespace jujubemast::tests {

struct message_fault_fixture : failure_fixture {
    static constexpr int seed = 20261204;

    message_fault_fixture() : failure_fixture{faulty(), 1000} {
        BOOST_TEST_MESSAGE("seed " << seed);
    }

    static deployment_hooks faulty() {
        deployment_hooks hooks;
        hooks.sidecar_program = "faulty-sidecar";
        hooks.sidecar_flags = {"--seed=" + std::to_string(seed)};
        return hooks;
    }
};

BOOST_FIXTURE_TEST_SUITE(message_fault_test, message_fault_fixture)

// Guards against duplicated or reordered messages that change a response or run a call twice.
BOOST_AUTO_TEST_CASE(requests_when_messages_are_duplicated_and_reordered_get_correct_responses) {
    const std::vector<std::string> pipelines{"answer", "post", "read"};
    std::vector<std::future<request_outcome>> responses;
    responses.reserve(60);
    for (std::size_t n = 0; n < 60; ++n) {
        responses.push_back(send_async(n % 2, pipelines[n % 3], "r" + std::to_string(n), 20));
    }
    for (std::size_t n = 0; n < responses.size(); ++n) {
        const auto id = "r" + std::to_string(n);
        check_response(responses[n].get(), pipelines[n % 3], id, 20);
        BOOST_TEST(executions("ledger", id) == (n % 3 == 0 ? 0U : 1U));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
