#include <map>

#include <boost/test/unit_test.hpp>

#include "entry/request_flow.h"
#include "support/property.h"

namespace jujubemast::tests {

using namespace jujubemast::entry;

/// What is known of one attempt that was sent to an upstream.
struct attempt_history {
    std::string instance;
    bool ended = false;
    bool certainly_not_run = false;
};

/// Drives a request with random events and checks the actions that it returns. The request has an
/// idempotent stage and a non-idempotent one, and the result of each has two chunks.
class flow_walk {
public:
    explicit flow_walk(bool check_content) : m_check_content{check_content} {
        check_actions(m_flow.begin(m_now));
    }

    /// Applies one event, whose kind and parameters are derived from the number.
    void step(std::uint32_t number) {
        m_now += std::chrono::milliseconds{number % 7};
        const auto choice = number / 16;
        const auto kind = number % 16;
        if (kind < 6) {
            const auto sequence = choice / 64 % 3;
            check_actions(
                m_flow.chunk_received({identity(choice), sequence, payload(sequence)}, m_now));
        } else if (kind < 9) {
            check_actions(m_flow.end_received(end(choice), m_now));
        } else if (kind == 9) {
            refuse(choice);
        } else if (kind == 10) {
            lose_link("u" + std::to_string(choice % 4));
        } else if (kind == 11) {
            check_actions(m_flow.hedge());
        } else if (kind == 12 && choice % 32 == 0) {
            // Rare, so that most walks reach the later stages.
            check_actions(m_flow.deadline_passed());
        } else if (kind == 13 && choice % 32 == 0) {
            m_caller_disconnected = m_caller_disconnected || !m_flow.finished();
            check_actions(m_flow.caller_disconnected());
        }
        RC_ASSERT(m_flow.finished() == (m_outcomes == 1 || m_caller_disconnected));
    }

    [[nodiscard]] int outcomes() const { return m_outcomes; }
    [[nodiscard]] bool answered() const { return m_answered; }

private:
    static request_plan make_plan() {
        request_plan plan;
        plan.request_id = "r";
        plan.deadline = common::time_point{} + std::chrono::hours{1};
        plan.pipeline.stages = {{"encode", "encoders", "encode", "", true},
                                {"post", "ledger", "post", "", false}};
        return plan;
    }

    static std::string payload(std::uint32_t sequence) {
        return R"({"output":"p)" + std::to_string(sequence) + R"("})";
    }

    /// Returns the identity of an attempt in progress in most cases, and sometimes that of an
    /// earlier attempt or of another incarnation.
    [[nodiscard]] protocol::work_identity identity(std::uint32_t choice) const {
        const auto stage = static_cast<std::uint32_t>(m_flow.stage_index());
        const auto& attempts = m_flow.attempts();
        if (choice % 8 != 0 && !attempts.empty()) {
            return {"r", stage, attempts[choice / 8 % attempts.size()].attempt, 1};
        }
        return {"r", stage, choice / 8 % 4, choice / 32 % 2 + 1};
    }

    [[nodiscard]] protocol::result_end end(std::uint32_t choice) const {
        common::content_digest digest;
        digest.update(payload(0));
        digest.update(payload(1));
        const bool damaged = choice / 64 % 8 == 0;
        return {identity(choice), 2, digest.value() + (damaged ? 1 : 0), 0, 0};
    }

    void refuse(std::uint32_t choice) {
        const auto id = identity(choice);
        const auto reason = static_cast<protocol::refusal_reason>(
            choice / 64 % common::enumerator_count<protocol::refusal_reason>());
        const auto execution = static_cast<common::execution>(choice / 1024 % 3);
        if (const auto it = m_attempts.find({id.stage, id.attempt});
            it != m_attempts.end() && id.incarnation == 1 && !it->second.ended) {
            it->second.ended = true;
            it->second.certainly_not_run = execution == common::execution::not_run;
        }
        check_actions(m_flow.refusal_received({id, reason, execution, 0, ""}, m_now));
    }

    void lose_link(const std::string& instance) {
        for (auto& [key, attempt] : m_attempts) {
            attempt.ended = attempt.ended || attempt.instance == instance;
        }
        check_actions(m_flow.link_lost(instance, m_now));
    }

    [[nodiscard]] bool may_have_run() const {
        return std::any_of(m_attempts.begin(), m_attempts.end(),
                           [](const auto& it) { return !it.second.certainly_not_run; });
    }

    void check_actions(const flow_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* dispatch = std::get_if<dispatch_stage>(&action)) {
                dispatched(*dispatch);
            } else if (const auto* response = std::get_if<deliver_response>(&action)) {
                RC_ASSERT(!m_check_content || response->output == "p0p1");
                m_answered = true;
                ++m_outcomes;
            } else if (const auto* failure = std::get_if<deliver_problem>(&action)) {
                RC_ASSERT(failure->content.execution != common::execution::not_run ||
                          !may_have_run());
                ++m_outcomes;
            }
        }
        RC_ASSERT(m_outcomes <= 1);
    }

    void dispatched(const dispatch_stage& action) {
        RC_ASSERT(!m_flow.finished());
        const std::pair key{action.stage, action.attempt};
        RC_ASSERT(!m_attempts.contains(key));
        for (const auto& [other, attempt] : m_attempts) {
            RC_ASSERT(other.first != 1 || action.stage != 1 ||
                      (attempt.ended && attempt.certainly_not_run));
        }
        if (action.attempt == 3) {
            check_actions(m_flow.stage_not_dispatched(m_now));
            return;
        }
        const auto instance = "u" + std::to_string(action.attempt % 4);
        m_attempts[key] = {instance};
        m_flow.stage_dispatched({action.attempt, instance, 1, m_now, 0});
    }

    common::time_point m_now{};
    request_flow m_flow{make_plan(), make_bounded_retry(5)};
    std::map<std::pair<std::uint32_t, std::uint32_t>, attempt_history> m_attempts;
    bool m_check_content;
    bool m_answered = false;
    bool m_caller_disconnected = false;
    int m_outcomes = 0;
};

struct request_flow_property_fixture {
    std::uint64_t seed = 20261204;
    int answered = 0;

    void walk_many(bool check_content) {
        check_property(seed, 5000, [&](const std::vector<std::uint32_t>& numbers) {
            flow_walk walk{check_content};
            for (const auto it : numbers) {
                // RapidCheck generates small numbers first. The multiplication spreads them over
                // the whole range.
                walk.step(it * 2654435761U >> 3U);
            }
            answered += walk.answered() ? 1 : 0;
        });
    }
};

BOOST_FIXTURE_TEST_SUITE(request_flow_property_test, request_flow_property_fixture)

// Guards against two outcomes of one request, against `not_run` after a dispatch that may have run,
// and against a second dispatch of a non-idempotent stage that may have run.
BOOST_AUTO_TEST_CASE(request_flow_when_events_are_random_keeps_its_invariants) {
    walk_many(false);
    BOOST_TEST_MESSAGE("walks that ended with a response: " << answered);
    // A response shows that walks have reached the second stage.
    BOOST_TEST(answered > 0);
}

// Guards against a response with output of an attempt that did not complete.
BOOST_AUTO_TEST_CASE(request_flow_when_attempts_fail_midway_responds_with_complete_output) {
    walk_many(true);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
