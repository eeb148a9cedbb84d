#include "gateway/instances/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace jujubemast::gateway::instances {

namespace {

// Shape of the gamma distribution, the inverse square of the relative spread of the load: the load
// of an instance is assumed to deviate by half from the mean, because prompts with a common prefix
// go to the same instance.
constexpr double load_shape = 4;
// With two standard deviations the inputs of 1% of the requests are released too early at a mean
// load of 40 of 64 slots (load_estimate_test), and such a request makes its stages again.
constexpr double safe_deviations = 3;

} // namespace

bool has_free_slot_by_pool(const known_load& known) {
    const auto own = static_cast<double>(known.own_here);
    const double mean = static_cast<double>(known.own_in_pool) /
                        static_cast<double>(std::max<std::size_t>(1, known.instances));
    const auto others = static_cast<double>(std::max<std::size_t>(1, known.gateways) - 1);
    double expected = 0;
    double variance = 0;
    if (mean > 0) {
        // Mean and variance of the negative binomial distribution that follows from a gamma
        // distribution with this shape and rate.
        const double shape = load_shape + own;
        const double rate = load_shape / mean + 1;
        expected = others * shape / rate;
        variance = expected + others * others * shape / (rate * rate);
    }
    const double bound = own + 1 + expected + safe_deviations * std::sqrt(variance);
    return bound <= static_cast<double>(known.slots);
}

bool has_free_slot_by_own_requests(const known_load& known) {
    return 2 * (known.own_here + 1) * known.gateways <= known.slots;
}

} // namespace jujubemast::gateway::instances
