#include "gateway/requests/attempt_decision.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using gateway::repeatability;
using gateway::requests::attempt_end;
using gateway::requests::next_step;

struct attempt_decision_fixture {
    gateway::requests::attempt_facts facts;

    attempt_decision_fixture() {
        facts.kind = repeatability::idempotent;
        facts.possible_runs = 1;
        facts.max_attempts = 2;
        facts.sends = 1;
        facts.time_left = true;
        facts.budget_left = true;
        facts.alternative_available = true;
    }

    next_step decide(attempt_end end) {
        facts.end = end;
        return gateway::requests::decide_next_step(facts);
    }
};

BOOST_FIXTURE_TEST_SUITE(attempt_decision_test, attempt_decision_fixture)

// Guards against a second run of a request that must run at most once.
BOOST_AUTO_TEST_CASE(non_idempotent_request_after_a_broken_connection_is_never_sent_again) {
    facts.kind = repeatability::non_idempotent;
    facts.max_attempts = 5;
    BOOST_TEST((decide(attempt_end::broken) == next_step::fail));
    BOOST_TEST((decide(attempt_end::failed) == next_step::pass_on));
}

// Guards against reporting a request as "not run" that may have run.
BOOST_AUTO_TEST_CASE(request_that_may_have_run_when_refused_is_not_reported_as_not_run) {
    facts.alternative_available = false;
    BOOST_TEST((decide(attempt_end::refused) == next_step::fail));
    facts.possible_runs = 0;
    BOOST_TEST((decide(attempt_end::refused) == next_step::refuse));
}

BOOST_AUTO_TEST_CASE(refused_request_of_any_kind_goes_to_another_upstream) {
    facts.possible_runs = 0;
    facts.kind = repeatability::non_idempotent;
    BOOST_TEST((decide(attempt_end::refused) == next_step::retry));
    facts.kind = repeatability::stream;
    BOOST_TEST((decide(attempt_end::not_sent) == next_step::retry));
}

BOOST_AUTO_TEST_CASE(idempotent_request_at_its_number_of_attempts_is_not_repeated) {
    facts.possible_runs = 2;
    BOOST_TEST((decide(attempt_end::failed) == next_step::pass_on));
    BOOST_TEST((decide(attempt_end::broken) == next_step::fail));
}

BOOST_AUTO_TEST_CASE(stream_broken_midway_is_retried_only_if_resumable) {
    facts.kind = repeatability::stream;
    BOOST_TEST((decide(attempt_end::broken_midway) == next_step::abort));
    facts.resumable = true;
    BOOST_TEST((decide(attempt_end::broken_midway) == next_step::retry));
}

// Guards against take-ups that are refused because engines which have just crashed refuse
// connections: the retry budget is a share of the requests, and no work is repeated.
BOOST_AUTO_TEST_CASE(request_that_was_not_sent_goes_to_another_upstream_without_budget) {
    facts.possible_runs = 0;
    facts.budget_left = false;
    BOOST_TEST((decide(attempt_end::not_sent) == next_step::retry));
    BOOST_TEST((decide(attempt_end::refused) == next_step::refuse));
    BOOST_TEST((decide(attempt_end::broken) == next_step::fail));
    facts.time_left = false;
    BOOST_TEST((decide(attempt_end::not_sent) == next_step::refuse));
}

BOOST_AUTO_TEST_CASE(retry_without_budget_or_time_is_not_tried) {
    facts.budget_left = false;
    BOOST_TEST((decide(attempt_end::broken) == next_step::fail));
    facts.budget_left = true;
    facts.time_left = false;
    BOOST_TEST((decide(attempt_end::broken) == next_step::fail));
}

BOOST_AUTO_TEST_CASE(request_whose_inputs_are_gone_runs_its_stages_again) {
    facts.possible_runs = 0;
    BOOST_TEST((decide(attempt_end::input_gone) == next_step::remake_inputs));
    facts.sends = gateway::requests::max_sends;
    BOOST_TEST((decide(attempt_end::input_gone) == next_step::refuse));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
