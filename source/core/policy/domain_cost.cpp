#include "policy/domain_cost.h"

#include <algorithm>

namespace jujubemast::policy {

namespace {

constexpr double bytes_per_gigabyte = 1e9;
// Requests arrive in bursts, and the load is estimated from the requests of one gateway, so waiting
// begins before all slots are in use.
constexpr double busy_share = 0.7;
constexpr double wait_ms_at_full_load = 120;

} // namespace

double price_of(const transfer_terms& terms, double bytes) {
    return terms.price_ms_per_gb * bytes / bytes_per_gigabyte;
}

placement_cost estimate_cost(const transfer_terms& terms, const placed_work& work) {
    return {work.wait_ms + work.prompt_ms + terms.one_way_ms * work.remote_passages,
            work.remote_bytes, price_of(terms, work.remote_bytes)};
}

double queue_wait_ms(double busy_slots_share) {
    return wait_ms_at_full_load * std::max(0.0, busy_slots_share - busy_share) / (1 - busy_share);
}

} // namespace jujubemast::policy
