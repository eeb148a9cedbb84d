#include "gateway/instances/reading_schedule.h"

#include <algorithm>
#include <utility>

namespace jujubemast::gateway::instances {

namespace {

// Measured on the users' engines, which read chunks of 2,048 tokens in 36 ms.
constexpr double tokens_per_ms = 56.6;
// An event takes six steps of an engine. Two prompts of up to two chunks each add at most 144 ms to
// them, so that the events stay within the 400 ms of their target.
constexpr std::uint32_t max_short_prompt_tokens = 4096;
// On a measured day the 99th percentile of the time to the first event (1,317 ms) was 1.8 times
// that of the estimates. Twice as much leaves room for readings beyond it.
constexpr int limit_factor = 4;
// Short readings vary more, because they wait for the steps of the engine's running requests.
constexpr common::duration min_limit = std::chrono::milliseconds{400};
// The longest prompts take a second. A number that is out of proportion blocks no engine for long.
constexpr common::duration max_limit = std::chrono::seconds{3};
constexpr common::duration cleanup_interval = std::chrono::seconds{10};

} // namespace

common::duration reading_time(std::uint32_t prompt_tokens) {
    return std::chrono::duration_cast<common::duration>(
        std::chrono::duration<double, std::milli>{prompt_tokens / tokens_per_ms});
}

bool is_long_prompt(std::uint32_t prompt_tokens) {
    return prompt_tokens > max_short_prompt_tokens;
}

bool reading_schedule::request(const std::string& engine, reading_key key,
                               common::duration estimate, common::time_point now) {
    forget_ended(now);
    auto& current = m_grants[engine];
    if (current.limit > now) {
        return false;
    }
    // Limited before the multiplication, which could overflow.
    const auto bounded = std::min(estimate, max_limit);
    current = {std::move(key), now + bounded,
               now + std::clamp(limit_factor * bounded, min_limit, max_limit)};
    return true;
}

void reading_schedule::end(const std::string& engine, const reading_key& key) {
    const auto found = m_grants.find(engine);
    if (found != m_grants.end() && found->second.key == key) {
        m_grants.erase(found);
    }
}

common::duration reading_schedule::free_in(const std::string& engine,
                                           common::time_point now) const {
    const auto found = m_grants.find(engine);
    if (found == m_grants.end() || found->second.limit <= now) {
        return common::duration::zero();
    }
    const auto& current = found->second;
    // A reading that takes longer than expected is not about to end.
    return (current.expected_end > now ? current.expected_end : current.limit) - now;
}

std::size_t reading_schedule::busy(common::time_point now) const {
    return static_cast<std::size_t>(std::count_if(
        m_grants.begin(), m_grants.end(), [&](const auto& it) { return it.second.limit > now; }));
}

void reading_schedule::forget_ended(common::time_point now) {
    if (now < m_next_cleanup) {
        return;
    }
    m_next_cleanup = now + cleanup_interval;
    std::erase_if(m_grants, [&](const auto& it) { return it.second.limit <= now; });
}

} // namespace jujubemast::gateway::instances
