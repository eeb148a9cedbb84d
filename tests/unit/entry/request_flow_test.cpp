#include "entry/request_flow.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::entry;

struct request_flow_fixture {
    common::time_point now{};
    request_flow flow{make_plan(), make_bounded_retry(3)};

    static request_plan make_plan() {
        request_plan plan;
        plan.request_id = "r";
        plan.deadline = common::time_point{} + std::chrono::seconds{5};
        plan.input = "question";
        plan.pipeline.stages = {{"encode", "encoders", "encode", "", true},
                                {"post", "ledger", "post", "", false}};
        return plan;
    }

    static protocol::work_identity identity(std::uint32_t stage, std::uint32_t attempt = 0) {
        return {"r", stage, attempt, 1};
    }

    static std::string payload(const std::string& output) {
        return R"({"output":")" + output + R"("})";
    }

    protocol::result_end end_of(const protocol::work_identity& id,
                                const std::vector<std::string>& payloads) const {
        common::content_digest digest;
        for (const auto& it : payloads) {
            digest.update(it);
        }
        return {id, static_cast<std::uint32_t>(payloads.size()), digest.value(), 0, 0};
    }

    flow_actions complete(std::uint32_t stage, const std::string& output) {
        flow.stage_dispatched({0, "u", 1, now, 7});
        flow.chunk_received({identity(stage), 0, payload(output)}, now);
        return flow.end_received(end_of(identity(stage), {payload(output)}), now);
    }

    template <typename Action>
    static const Action* find(const flow_actions& actions) {
        for (const auto& it : actions) {
            if (const auto* found = std::get_if<Action>(&it)) {
                return found;
            }
        }
        return nullptr;
    }
};

BOOST_FIXTURE_TEST_SUITE(request_flow_test, request_flow_fixture)

BOOST_AUTO_TEST_CASE(request_flow_when_all_stages_complete_delivers_the_last_output) {
    BOOST_TEST(find<dispatch_stage>(flow.begin(now))->stage == 0U);
    BOOST_TEST(find<dispatch_stage>(complete(0, "a"))->stage == 1U);
    const auto actions = complete(1, "b");
    BOOST_TEST(find<deliver_response>(actions)->output == "b");
    BOOST_TEST(flow.finished());
}

// Guards against responses assembled from chunks that arrive out of order or twice.
BOOST_AUTO_TEST_CASE(request_flow_when_chunks_are_reordered_and_repeated_keeps_their_order) {
    flow.begin(now);
    complete(0, "a");
    flow.stage_dispatched({0, "u", 1, now, 7});
    flow.chunk_received({identity(1), 1, payload("2")}, now);
    flow.chunk_received({identity(1), 0, payload("1")}, now);
    flow.chunk_received({identity(1), 0, payload("1")}, now);
    const auto actions = flow.end_received(end_of(identity(1), {payload("1"), payload("2")}), now);
    BOOST_TEST(find<deliver_response>(actions)->output == "12");
}

// Guards against a response that lacks a chunk but is delivered as complete.
BOOST_AUTO_TEST_CASE(request_flow_when_a_chunk_is_missing_fetches_it) {
    flow.begin(now);
    flow.stage_dispatched({0, "u", 1, now, 7});
    flow.chunk_received({identity(0), 1, payload("2")}, now);
    const auto end = end_of(identity(0), {payload("1"), payload("2")});
    const auto actions = flow.end_received(end, now);
    const auto* message = find<send_to_upstream>(actions);
    BOOST_TEST(std::get<protocol::fetch>(message->content).from_sequence == 0U);
    const auto later = flow.chunk_received({identity(0), 0, payload("1")}, now);
    BOOST_TEST(find<dispatch_stage>(later)->stage == 1U);
}

// Guards against results of an earlier attempt or of another request that are accepted for this
// one.
BOOST_AUTO_TEST_CASE(request_flow_when_identity_differs_ignores_the_result) {
    flow.begin(now);
    flow.stage_dispatched({0, "u", 1, now, 7});
    BOOST_TEST(flow.end_received(end_of(identity(0, 1), {}), now).empty());
    BOOST_TEST(flow.end_received(end_of({"other", 0, 0, 1}, {}), now).empty());
    BOOST_TEST(flow.end_received(end_of({"r", 0, 0, 2}, {}), now).empty());
}

BOOST_AUTO_TEST_CASE(request_flow_when_digest_differs_retries) {
    flow.begin(now);
    flow.stage_dispatched({0, "u", 1, now, 7});
    flow.chunk_received({identity(0), 0, payload("x")}, now);
    const auto actions = flow.end_received(end_of(identity(0), {payload("a")}), now);
    BOOST_TEST(find<dispatch_stage>(actions)->attempt == 1U);
}

// Guards against a non-idempotent call that runs twice.
BOOST_AUTO_TEST_CASE(request_flow_when_non_idempotent_stage_may_have_run_fails_as_unknown) {
    flow.begin(now);
    complete(0, "a");
    flow.stage_dispatched({0, "u", 1, now, 7});
    const auto actions = flow.link_lost("u", now);
    BOOST_TEST(find<dispatch_stage>(actions) == nullptr);
    BOOST_TEST(find<deliver_problem>(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(request_flow_when_refused_as_not_run_tries_another_upstream) {
    flow.begin(now);
    flow.stage_dispatched({0, "u", 1, now, 7});
    const auto actions = flow.refusal_received(
        {identity(0), protocol::refusal_reason::draining, common::execution::not_run, 0, ""}, now);
    BOOST_TEST(find<dispatch_stage>(actions)->excluded.front() == "u");
    BOOST_TEST((flow.execution() == common::execution::not_run));
}

// Guards against a failure that is reported as `not_run` while a stage may still run.
BOOST_AUTO_TEST_CASE(request_flow_when_deadline_passes_in_flight_reports_unknown_and_cancels) {
    flow.begin(now);
    flow.stage_dispatched({0, "u", 1, now, 7});
    const auto actions = flow.deadline_passed();
    BOOST_TEST((find<deliver_problem>(actions)->content.execution == common::execution::unknown));
    const auto* message = find<send_to_upstream>(actions);
    BOOST_TEST(std::holds_alternative<protocol::cancel>(message->content));
}

// Guards against a refusal while all links are briefly down, and against an endless wait.
BOOST_AUTO_TEST_CASE(request_flow_when_no_upstream_is_available_waits_for_a_bounded_time) {
    flow.begin(now);
    BOOST_TEST(find<wait_for_upstream>(flow.stage_not_dispatched(now)) != nullptr);
    BOOST_TEST(find<dispatch_stage>(flow.retry_dispatch())->attempt == 0U);
    const auto actions = flow.stage_not_dispatched(now + std::chrono::seconds{4});
    BOOST_TEST((find<deliver_problem>(actions)->content.execution == common::execution::not_run));
}

// Guards against output that is appended to the output of an earlier attempt.
BOOST_AUTO_TEST_CASE(request_flow_when_link_is_lost_before_the_end_does_not_repeat_output) {
    flow.begin(now);
    flow.stage_dispatched({0, "u", 1, now, 7});
    flow.chunk_received({identity(0), 0, payload("a")}, now);
    flow.link_lost("u", now);
    flow.stage_dispatched({1, "v", 1, now, 7});
    flow.chunk_received({identity(0, 1), 0, payload("a")}, now);
    const auto actions = flow.end_received(end_of(identity(0, 1), {payload("a")}), now);
    BOOST_TEST(find<dispatch_stage>(actions)->body.find(R"("context":"a")") != std::string::npos);
}

// Guards against tokens that are accepted twice from an engine that does not resume at the
// requested offset.
BOOST_AUTO_TEST_CASE(request_flow_when_tokens_have_a_wrong_offset_retries_without_them) {
    flow.begin(now);
    flow.stage_dispatched({0, "u", 1, now, 7});
    const std::string first = R"({"offset":0,"tokens":["a"]})";
    const std::string wrong = R"({"offset":5,"tokens":["b"]})";
    flow.chunk_received({identity(0), 0, first}, now);
    flow.link_lost("u", now);
    flow.stage_dispatched({1, "v", 1, now, 7});
    flow.chunk_received({identity(0, 1), 0, wrong}, now);
    const auto actions = flow.end_received(end_of(identity(0, 1), {wrong}), now);
    BOOST_TEST(find<dispatch_stage>(actions)->resume_offset == 1U);
}

// Guards against work that waits until its deadline after its connection was replaced.
BOOST_AUTO_TEST_CASE(request_flow_when_link_has_reconnected_fetches_with_the_deadline) {
    flow.begin(now);
    flow.stage_dispatched({0, "u", 1, now, 7});
    const auto actions = flow.link_reconnected("u");
    const auto fetch = std::get<protocol::fetch>(find<send_to_upstream>(actions)->content);
    BOOST_TEST(fetch.deadline_us == 7);
    BOOST_TEST(flow.link_reconnected("v").empty());
}

// Guards against a rolling restart that uses up the attempts of queued work.
BOOST_AUTO_TEST_CASE(request_flow_when_returned_by_leaving_sidecars_does_not_count_attempts) {
    flow.begin(now);
    for (std::uint32_t n = 0; n < 10; ++n) {
        flow.stage_dispatched({n, "u", 1, now, 7});
        const auto actions = flow.refusal_received(
            {identity(0, n), protocol::refusal_reason::draining, common::execution::not_run, 0, ""},
            now);
        BOOST_TEST(find<dispatch_stage>(actions)->attempt == n + 1);
    }
}

// Guards against a hedge that delivers two results, or that keeps the slower upstream busy.
BOOST_AUTO_TEST_CASE(request_flow_when_hedge_responds_first_takes_it_and_cancels_the_other) {
    flow.begin(now);
    flow.stage_dispatched({0, "slow", 1, now, 7});
    BOOST_TEST(find<dispatch_stage>(flow.hedge())->excluded.front() == "slow");
    flow.stage_dispatched({1, "fast", 1, now, 7});
    const auto actions = flow.chunk_received({identity(0, 1), 0, payload("a")}, now);
    const auto* message = find<send_to_upstream>(actions);
    BOOST_TEST(message->instance == "slow");
    BOOST_TEST(std::holds_alternative<protocol::cancel>(message->content));
    BOOST_TEST(flow.chunk_received({identity(0, 0), 0, payload("a")}, now).empty());
}

// Guards against a hedge of a call that must not run twice.
BOOST_AUTO_TEST_CASE(request_flow_when_stage_is_not_idempotent_does_not_hedge) {
    flow.begin(now);
    complete(0, "a");
    flow.stage_dispatched({0, "u", 1, now, 7});
    BOOST_TEST(!flow.may_hedge());
    BOOST_TEST(flow.hedge().empty());
}

BOOST_AUTO_TEST_CASE(request_flow_when_one_attempt_of_a_hedge_fails_waits_for_the_other) {
    flow.begin(now);
    flow.stage_dispatched({0, "a", 1, now, 7});
    flow.hedge();
    flow.stage_dispatched({1, "b", 1, now, 7});
    BOOST_TEST(flow.link_lost("a", now).empty());
    BOOST_TEST(!flow.finished());
}

// Guards against a crash of the process: the result of a hedge was checked against the end of the
// attempt that the hedge replaced.
BOOST_AUTO_TEST_CASE(request_flow_when_end_has_arrived_before_its_chunks_does_not_hedge) {
    flow.begin(now);
    flow.stage_dispatched({0, "u", 1, now, 7});
    BOOST_TEST(flow.may_hedge());
    flow.end_received(end_of(identity(0), {payload("1")}), now);
    BOOST_TEST(!flow.may_hedge());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
