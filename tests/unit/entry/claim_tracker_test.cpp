#include "entry/claim_tracker.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "standins/table_storage.h"

namespace jujubemast::tests {

using namespace jujubemast::entry;
using table_service::store_status;

struct claim_tracker_fixture {
    common::time_point now = common::time_point{} + std::chrono::hours{1};
    std::int64_t wall = 1000000;
    standins::table_storage table;
    claim_limits limits;
    claim_tracker tracker = make();
    std::vector<commit_group> groups;
    std::vector<read_claim> reads;
    std::vector<std::uint64_t> granted;
    std::map<std::uint64_t, claim_denied> denied;
    std::map<std::uint64_t, bool> closed;

    claim_tracker make(std::uint64_t seed = 1) const {
        return {limits, common::seeded_random(seed)};
    }

    void record_actions(const claim_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* group = std::get_if<commit_group>(&action)) {
                groups.push_back(*group);
            } else if (const auto* read = std::get_if<read_claim>(&action)) {
                reads.push_back(*read);
            } else if (const auto* grant = std::get_if<claim_granted>(&action)) {
                granted.push_back(grant->id);
            } else if (const auto* refusal = std::get_if<claim_denied>(&action)) {
                denied[refusal->id] = *refusal;
            } else {
                const auto& end = std::get<claim_closed>(action);
                closed[end.id] = end.recorded;
            }
        }
    }

    void request(claim_tracker& target, std::uint64_t id, const std::string& key,
                 const std::string& digest = "d") {
        record_actions(
            target.request({id, "w", key, digest, now + std::chrono::seconds{5}}, now, wall));
    }

    void pass(claim_tracker& target, common::duration time) {
        now += time;
        wall += std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
        record_actions(target.process_due(now));
    }

    /// Executes all requested transactions and reads on the table until no more are requested.
    void run_store(claim_tracker& target) {
        pass(target, limits.flush_delay);
        while (!groups.empty() || !reads.empty()) {
            for (const auto& it : std::exchange(groups, {})) {
                const auto status =
                    table.commit(it.transaction) ? store_status::done : store_status::conflict;
                record_actions(target.group_committed(it.group, status, now));
            }
            for (const auto& it : std::exchange(reads, {})) {
                record_actions(target.row_received(
                    it.id, {store_status::done, {table.read(it.target)}}, now, wall));
            }
            pass(target, limits.flush_delay);
        }
    }

    [[nodiscard]] bool is_granted(std::uint64_t id) const {
        return std::find(granted.begin(), granted.end(), id) != granted.end();
    }

    [[nodiscard]] problem_kind kind_of(std::uint64_t id) const {
        return std::get<problem>(denied.at(id).content).kind;
    }

    void close(claim_tracker& target, std::uint64_t id, std::optional<stored_outcome> outcome) {
        record_actions(target.close({id, std::move(outcome)}, now));
    }
};

BOOST_FIXTURE_TEST_SUITE(claim_tracker_test, claim_tracker_fixture)

BOOST_AUTO_TEST_CASE(claim_tracker_when_requests_arrive_together_shares_one_transaction) {
    for (std::uint64_t id = 1; id <= 10; ++id) {
        request(tracker, id, "key-" + std::to_string(id));
    }
    BOOST_TEST(groups.empty());
    pass(tracker, limits.flush_delay);
    BOOST_TEST_REQUIRE(groups.size() == 1U);
    BOOST_TEST(groups.front().transaction.writes.size() == 10U);
    run_store(tracker);
    BOOST_TEST(granted.size() == 10U);
}

// Guards against one repeated key that fails the other claims of its transaction.
BOOST_AUTO_TEST_CASE(claim_tracker_when_one_row_conflicts_grants_the_others) {
    auto other = make(2);
    request(other, 100, "key-3");
    run_store(other);
    for (std::uint64_t id = 1; id <= 5; ++id) {
        request(tracker, id, "key-" + std::to_string(id));
    }
    run_store(tracker);
    BOOST_TEST(granted.size() == 5U);
    BOOST_TEST(!is_granted(3));
    BOOST_TEST((kind_of(3) == problem_kind::request_in_progress));
}

// Guards against a second execution through another entry, in every state of the first request.
BOOST_AUTO_TEST_CASE(claim_tracker_when_key_repeats_through_another_entry_never_grants) {
    auto other = make(2);
    request(tracker, 1, "k");
    run_store(tracker);
    request(other, 2, "k");
    request(other, 3, "l", "d");
    run_store(other);
    BOOST_TEST((kind_of(2) == problem_kind::request_in_progress));
    request(other, 4, "k", "another digest");
    run_store(other);
    BOOST_TEST((kind_of(4) == problem_kind::idempotency_conflict));
    close(tracker, 1, stored_outcome{claim_state::done, 200, "answer"});
    run_store(tracker);
    BOOST_TEST(closed.at(1));
    request(other, 5, "k");
    run_store(other);
    BOOST_TEST(std::get<stored_outcome>(denied.at(5).content).document == "answer");
}

BOOST_AUTO_TEST_CASE(claim_tracker_when_key_repeats_through_the_same_entry_never_grants) {
    request(tracker, 1, "k");
    request(tracker, 2, "k");
    run_store(tracker);
    BOOST_TEST((granted == std::vector<std::uint64_t>{1}));
    BOOST_TEST((kind_of(2) == problem_kind::request_in_progress));
}

// Guards against the takeover of a claim whose entry has failed.
BOOST_AUTO_TEST_CASE(
    claim_tracker_when_owner_has_failed_past_the_deadline_reports_unknown_outcome) {
    auto owner = make(2);
    request(owner, 1, "k");
    run_store(owner);
    pass(tracker, std::chrono::seconds{6});
    request(tracker, 2, "k");
    run_store(tracker);
    BOOST_TEST((kind_of(2) == problem_kind::unknown_outcome));
    pass(tracker, std::chrono::hours{25});
    request(tracker, 3, "k");
    run_store(tracker);
    BOOST_TEST(is_granted(3));
}

// Guards against a claim that is refused, or attributed to another request, because the response to
// its transaction was lost.
BOOST_AUTO_TEST_CASE(claim_tracker_when_response_is_lost_resolves_it_by_the_token) {
    for (const bool took_effect : {true, false}) {
        const std::string key = took_effect ? "a" : "b";
        const std::uint64_t id = took_effect ? 1 : 2;
        request(tracker, id, key);
        pass(tracker, limits.flush_delay);
        const auto lost = std::exchange(groups, {}).front();
        if (took_effect) {
            table.commit(lost.transaction);
        }
        record_actions(tracker.group_committed(lost.group, store_status::unknown, now));
        run_store(tracker);
        BOOST_TEST(is_granted(id));
        // A repeated or late copy of the transaction must not change the row.
        BOOST_TEST(!table.commit(lost.transaction));
    }
}

BOOST_AUTO_TEST_CASE(claim_tracker_when_store_is_down_refuses_at_once_as_not_run) {
    request(tracker, 1, "k");
    pass(tracker, limits.flush_delay);
    record_actions(tracker.group_committed(groups.front().group, store_status::unavailable, now));
    BOOST_TEST((kind_of(1) == problem_kind::store_unavailable));
    BOOST_TEST(tracker.size() == 0U);
}

// Guards against a refused request whose claim is stored late and blocks its repeat until the claim
// expires.
BOOST_AUTO_TEST_CASE(claim_tracker_when_refused_claim_takes_effect_late_releases_it) {
    request(tracker, 1, "k");
    pass(tracker, limits.flush_delay);
    const auto slow = std::exchange(groups, {}).front();
    pass(tracker, limits.max_wait);
    BOOST_TEST((kind_of(1) == problem_kind::store_unavailable));
    table.commit(slow.transaction);
    record_actions(tracker.group_committed(slow.group, store_status::done, now));
    run_store(tracker);
    BOOST_TEST(!is_granted(1));
    BOOST_TEST(tracker.size() == 0U);
    request(tracker, 2, "k");
    run_store(tracker);
    BOOST_TEST(is_granted(2));
}

// Guards against a transaction that takes effect after the row of its refused claim was read as
// absent.
BOOST_AUTO_TEST_CASE(claim_tracker_when_refused_claim_is_absent_fences_its_transaction) {
    request(tracker, 1, "k");
    pass(tracker, limits.flush_delay);
    const auto lost = std::exchange(groups, {}).front();
    pass(tracker, limits.max_wait);
    record_actions(tracker.group_committed(lost.group, store_status::unknown, now));
    run_store(tracker);
    BOOST_TEST(tracker.size() == 0U);
    BOOST_TEST(!table.commit(lost.transaction));
}

BOOST_AUTO_TEST_CASE(claim_tracker_when_request_has_not_run_lets_its_repeat_run) {
    request(tracker, 1, "k");
    run_store(tracker);
    close(tracker, 1, std::nullopt);
    run_store(tracker);
    BOOST_TEST(closed.at(1));
    request(tracker, 2, "k");
    run_store(tracker);
    BOOST_TEST(is_granted(2));
}

// Guards against a caller that waits for the store during an outage, and against a lost outcome.
BOOST_AUTO_TEST_CASE(claim_tracker_when_store_fails_before_the_outcome_responds_and_records_later) {
    request(tracker, 1, "k");
    run_store(tracker);
    close(tracker, 1, stored_outcome{claim_state::done, 200, "answer"});
    const auto begin = now;
    while (now - begin < std::chrono::seconds{60}) {
        pass(tracker, std::chrono::milliseconds{20});
        for (const auto& it : std::exchange(groups, {})) {
            record_actions(tracker.group_committed(it.group, store_status::unavailable, now));
        }
        BOOST_TEST(closed.contains(1) == (now - begin >= limits.max_wait));
    }
    BOOST_TEST(!closed.at(1));
    pass(tracker, limits.retry_interval);
    run_store(tracker);
    auto other = make(2);
    request(other, 2, "k");
    run_store(other);
    BOOST_TEST(std::get<stored_outcome>(denied.at(2).content).document == "answer");
}

// Guards against an unbounded number of claims while the store does not respond.
BOOST_AUTO_TEST_CASE(claim_tracker_when_full_refuses_as_overloaded) {
    for (std::uint64_t id = 0; id <= limits.max_claims; ++id) {
        request(tracker, id, "key-" + std::to_string(id));
    }
    BOOST_TEST((kind_of(limits.max_claims) == problem_kind::overloaded));
    BOOST_TEST(groups.size() == limits.max_groups_in_progress);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
