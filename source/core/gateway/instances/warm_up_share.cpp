#include "gateway/instances/warm_up_share.h"

#include <algorithm>
#include <utility>

#include "common/digest.h"
#include "policy/routing.h"
#include "policy/shared_limit.h"

namespace jujubemast::gateway::instances {

namespace {

// What a cold instance tolerates in one second, from its warm-up rate.
constexpr double tolerated_multiple = 1.5;
constexpr double tolerated_extra = 5;

} // namespace

std::optional<common::time_point> cold_end(const upstream_instance& instance,
                                           common::duration warm_up_time) {
    auto end = instance.cold_until;
    if (instance.warms_up_from) {
        end = std::max(end.value_or(common::time_point::min()),
                       *instance.warms_up_from + warm_up_time);
    }
    return end;
}

warm_up_total divide_warm_up_rate(double rate) {
    const auto total = static_cast<std::size_t>(rate * tolerated_multiple + tolerated_extra);
    const auto full = static_cast<std::size_t>(static_cast<double>(total) * policy::divided_share);
    return {full, total - full};
}

std::size_t deal_permits(std::size_t total, std::size_t rank, std::size_t gateways) {
    return total > rank && gateways > 0 ? (total - rank + gateways - 1) / gateways : 0;
}

warm_up_share::warm_up_share(std::string self, warm_up_share_options options)
    : m_self{std::move(self)}, m_options{std::move(options)} {}

void warm_up_share::set_names(const std::vector<std::string>& names, common::time_point now) {
    std::map<std::string, known_gateway> known;
    for (const auto& it : names) {
        known[it].digest = common::digest_of(it);
    }
    // After a time without confirmations, a name that was missing before may have come back and
    // gone again meanwhile.
    const bool was_watched = m_confirmed && now <= *m_confirmed + m_options.max_names_age;
    for (const auto& [name, it] : m_gateways) {
        if (!known.contains(name)) {
            known[name] = {it.digest, was_watched ? it.removed.value_or(now) : now};
        }
    }
    m_gateways = std::move(known);
    m_ranks.clear();
    schedule_forget();
    const auto self = m_gateways.find(m_self);
    if (self == m_gateways.end() || self->second.removed) {
        m_joined.reset();
    } else {
        m_joined = m_joined.value_or(now);
    }
}

void warm_up_share::confirm_names(common::time_point at) {
    m_confirmed = std::max(m_confirmed.value_or(at), at);
}

common::duration warm_up_share::full_share_delay() const {
    return m_options.max_names_age + send_window::length;
}

share_level warm_up_share::level(common::time_point now) const {
    if (!m_joined || now < *m_joined + m_options.join_delay + send_window::length) {
        return share_level::none;
    }
    if (now < *m_joined + full_share_delay() || !m_confirmed ||
        now > *m_confirmed + m_options.max_names_age) {
        return share_level::reduced;
    }
    return share_level::full;
}

warm_up_permits warm_up_share::permits(std::uint64_t instance_digest, double rate,
                                       common::time_point now) {
    forget_removed(now);
    const auto total = divide_warm_up_rate(rate);
    const auto part = [&](std::size_t of) {
        return m_options.divide(of, rank_at(instance_digest), m_gateways.size());
    };
    switch (level(now)) {
    case share_level::none:
        return {0, m_joined ? std::optional{*m_joined + m_options.join_delay + send_window::length}
                            : std::nullopt};
    case share_level::reduced: {
        const auto full_at = m_joined.value_or(now) + full_share_delay();
        return {part(total.reduced), full_at > now ? std::optional{full_at} : std::nullopt};
    }
    case share_level::full:
        return {part(total.full), {}};
    }
    return {};
}

void warm_up_share::forget_removed(common::time_point now) {
    if (!m_forget_at || now < *m_forget_at) {
        return;
    }
    std::erase_if(m_gateways, [&](const auto& it) {
        return it.second.removed && now >= *it.second.removed + full_share_delay();
    });
    m_ranks.clear();
    schedule_forget();
}

void warm_up_share::schedule_forget() {
    m_forget_at.reset();
    for (const auto& [name, it] : m_gateways) {
        if (it.removed) {
            const auto time = *it.removed + full_share_delay();
            m_forget_at = std::min(m_forget_at.value_or(time), time);
        }
    }
}

std::size_t warm_up_share::rank_at(std::uint64_t instance_digest) {
    const auto [it, is_new] = m_ranks.try_emplace(instance_digest);
    if (is_new) {
        const auto order_of = [&](const std::string& name, std::uint64_t digest) {
            return std::pair{policy::rendezvous_rank(instance_digest, digest), std::cref(name)};
        };
        const auto own = order_of(m_self, common::digest_of(m_self));
        it->second = static_cast<std::size_t>(
            std::count_if(m_gateways.begin(), m_gateways.end(), [&](const auto& other) {
                const auto [hash, name] = order_of(other.first, other.second.digest);
                return hash > own.first || (hash == own.first && name.get() < own.second.get());
            }));
    }
    return it->second;
}

} // namespace jujubemast::gateway::instances
