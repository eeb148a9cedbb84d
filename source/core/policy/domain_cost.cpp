#include "policy/domain_cost.h"

#include <algorithm>

namespace jujubemast::policy {

namespace {

constexpr double bytes_per_gigabyte = 1e9;
// The load is estimated from the requests of one gateway. With smaller shares, chance differences
// between its counts would move requests away from their inputs.
constexpr double busy_share = 0.7;
// The wait rises with the square, so that a domain with most of the inputs does not fill up: with a
// linear rise to 120 ms its engines got 1.15 times their slots in the replay.
constexpr double wait_ms_at_85_percent = 120;
constexpr double share_until_then = 0.15;

} // namespace

double price_of(const transfer_terms& terms, double bytes) {
    return terms.price_ms_per_gb * bytes / bytes_per_gigabyte;
}

placement_cost estimate_cost(const transfer_terms& terms, const placed_work& work) {
    return {work.wait_ms + work.prompt_ms + terms.one_way_ms * work.remote_passages,
            work.remote_bytes, price_of(terms, work.remote_bytes)};
}

double queue_wait_ms(double busy_slots_share) {
    const double excess = std::max(0.0, busy_slots_share - busy_share) / share_until_then;
    return wait_ms_at_85_percent * excess * excess;
}

} // namespace jujubemast::policy
