#include "gateway/stages/piece_placement.h"

#include <algorithm>

namespace jujubemast::gateway::stages {

namespace {

constexpr int slack_calls = 2;
// Longer waits make calls smaller, and each call costs a fixed time.
constexpr common::duration max_hold = std::chrono::milliseconds{30};

} // namespace

bool hold_while_slack(const hold_facts& facts) {
    return facts.until_preferred && facts.until_target >= facts.full_call * slack_calls;
}

hold_hook make_hold_by_cost(const policy::transfer_terms& terms) {
    return [terms](const hold_facts& facts) {
        if (facts.result_bytes < large_result_bytes) {
            return hold_while_slack(facts);
        }
        if (!facts.until_preferred ||
            facts.until_target < *facts.until_preferred + facts.full_call) {
            return false;
        }
        const auto worth = std::chrono::duration_cast<common::duration>(
            std::chrono::duration<double, std::milli>{policy::price_of(terms, facts.result_bytes)});
        const auto limit = facts.is_started ? std::min(max_hold, worth) : common::duration::zero();
        return facts.held + *facts.until_preferred <= limit;
    };
}

bool has_less_in_use(const free_instance& a, const free_instance& b) {
    return a.used_bytes < b.used_bytes;
}

bool is_better_placed(const free_instance& a, const free_instance& b) {
    const auto serves = [](const free_instance& it) {
        return it.is_preferred && it.free_bytes >= it.wanted_bytes;
    };
    return serves(a) != serves(b) ? serves(a) : has_less_in_use(a, b);
}

piece_placement make_piece_placement(const policy::transfer_terms& terms) {
    if (!terms.enabled()) {
        return {};
    }
    return {make_hold_by_cost(terms), is_better_placed, true};
}

} // namespace jujubemast::gateway::stages
