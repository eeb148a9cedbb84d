#include "policy/domain_overflow.h"

#include <algorithm>
#include <cmath>

namespace jujubemast::policy {

namespace {

const domain_view* find_domain(std::span<const domain_view> domains, const std::string& name) {
    const auto it = std::find_if(domains.begin(), domains.end(),
                                 [&](const domain_view& known) { return known.name == name; });
    return it == domains.end() ? nullptr : &*it;
}

/// Returns the share of the way to a new value that is covered in the time.
double covered_share(common::duration elapsed, common::duration time_constant) {
    return 1 - std::exp(-std::chrono::duration<double>(elapsed) /
                        std::chrono::duration<double>(time_constant));
}

/// Returns the share of the demand of all domains in the capacity of all.
double overall_load(std::span<const domain_view> domains) {
    double demand = 0;
    double capacity = 0;
    for (const auto& it : domains) {
        demand += it.demand;
        capacity += it.capacity;
    }
    return capacity > 0 ? demand / capacity : 0;
}

/// Divides what leaves in proportion to the weights.
void divide(domain_shares& shares, const std::map<std::string, double>& weights) {
    double sum = 0;
    for (const auto& [name, weight] : weights) {
        sum += weight;
    }
    shares.by_domain.clear();
    for (const auto& [name, weight] : weights) {
        if (weight > 0) {
            shares.by_domain[name] = shares.leaving * weight / sum;
        }
    }
    if (sum <= 0) {
        shares.leaving = 0;
    }
}

double fill_level_of(std::span<const domain_view> domains, const overflow_options& options) {
    return std::max(options.end_share, overall_load(domains));
}

/// Lets the share that leaves fall at the limited rate. It falls at once to the desired value if
/// another domain is above the fill level, because that one is about to send work here.
domain_shares lowered(const domain_shares& current, const domain_shares& desired,
                      std::span<const domain_view> domains, const overflow_options& options,
                      common::duration elapsed) {
    const double fill_level = fill_level_of(domains, options);
    const bool others_overflow =
        std::any_of(domains.begin(), domains.end(), [&](const domain_view& it) {
            return current.by_domain.contains(it.name) && it.demand >= fill_level * it.capacity;
        });
    if (others_overflow) {
        return desired;
    }
    const double fall = options.fall_per_s * std::chrono::duration<double>(elapsed).count();
    domain_shares result;
    result.leaving = std::max(desired.leaving, current.leaving - fall);
    divide(result, current.by_domain);
    return result;
}

/// Lets the share that leaves rise, and with it the parts of the other domains. A part falls at
/// once.
domain_shares raised(const domain_shares& current, const domain_shares& desired,
                     const overflow_options& options, common::duration elapsed) {
    domain_shares result;
    result.leaving = current.leaving + (desired.leaving - current.leaving) *
                                           covered_share(elapsed, options.rise_time);
    if (desired.leaving <= 0) {
        return result;
    }
    std::map<std::string, double> weights;
    for (const auto& [name, share] : desired.by_domain) {
        const double to = share / desired.leaving;
        const auto before = current.by_domain.find(name);
        const double from =
            before == current.by_domain.end() ? 0 : before->second / current.leaving;
        const bool is_rising = current.leaving > 0 && to > from;
        weights[name] =
            is_rising ? from + (to - from) * covered_share(elapsed, options.target_rise_time) : to;
    }
    divide(result, weights);
    return result;
}

} // namespace

domain_shares desired_shares(const std::string& own, std::span<const domain_view> domains,
                             const overflow_options& options, bool is_leaving) {
    domain_shares result;
    const auto* self = find_domain(domains, own);
    const double load = overall_load(domains);
    const double fill_level = fill_level_of(domains, options);
    const double begin_level = std::max(is_leaving ? options.end_share : options.begin_share, load);
    const double capacity = self == nullptr ? 0 : self->capacity;
    const double demand = self == nullptr ? 0 : self->demand;
    if (capacity > 0 && demand <= begin_level * capacity) {
        return result;
    }
    std::map<std::string, double> spare;
    for (const auto& it : domains) {
        if (it.name != own) {
            spare[it.name] = std::max(0.0, fill_level * it.capacity - it.demand);
        }
    }
    // Without capacity everything leaves, also what the views do not show yet.
    result.leaving = capacity > 0 ? 1 - fill_level * capacity / demand : 1;
    const bool any_spare =
        std::any_of(spare.begin(), spare.end(), [](const auto& it) { return it.second > 0; });
    if (!any_spare && capacity <= 0) {
        for (const auto& it : domains) {
            spare[it.name] = it.capacity;
        }
    }
    divide(result, spare);
    return result;
}

overflow_hook make_gradual_overflow(const overflow_options& options) {
    return [options](const std::string& own, std::span<const domain_view> domains,
                     const domain_shares& current, common::duration elapsed) {
        auto desired = desired_shares(own, domains, options, current.leaving > 0);
        const auto* self = find_domain(domains, own);
        if (self == nullptr || self->capacity <= 0) {
            return desired;
        }
        return desired.leaving < current.leaving
                   ? lowered(current, desired, domains, options, elapsed)
                   : raised(current, desired, options, elapsed);
    };
}

overflow_hook make_local_only() {
    return [](const std::string& own, std::span<const domain_view> domains,
              const domain_shares& /*current*/, common::duration /*elapsed*/) {
        const auto* self = find_domain(domains, own);
        const bool has_instance = self != nullptr && self->capacity > 0;
        return has_instance ? domain_shares{} : desired_shares(own, domains, {}, true);
    };
}

std::string choose_domain(const std::string& own, const domain_shares& shares, double random_unit) {
    double sum = 0;
    for (const auto& [name, share] : shares.by_domain) {
        sum += share;
        if (random_unit < sum) {
            return name;
        }
    }
    return own;
}

} // namespace jujubemast::policy
