#include "gateway/instances/reading_schedule.h"

#include <algorithm>

namespace jujubemast::gateway::instances {

namespace {

// Measured on the users' engines, which read chunks of 2,048 tokens in 36 ms.
constexpr double tokens_per_ms = 56.6;
// An event takes six steps of an engine. Two prompts of up to two chunks each add at most 144 ms to
// them, so that the events stay within the 400 ms of their target.
constexpr std::uint32_t max_short_prompt_tokens = 4096;
// The request reaches the engine after the grant.
constexpr common::duration send_margin = std::chrono::milliseconds{20};
// The longest prompts take a second. A number that is out of proportion blocks no engine for long.
constexpr common::duration max_reading = std::chrono::seconds{2};
constexpr common::duration cleanup_interval = std::chrono::seconds{10};

} // namespace

common::duration reading_time(std::uint32_t prompt_tokens) {
    return std::chrono::duration_cast<common::duration>(
        std::chrono::duration<double, std::milli>{prompt_tokens / tokens_per_ms});
}

bool is_long_prompt(std::uint32_t prompt_tokens) {
    return prompt_tokens > max_short_prompt_tokens;
}

bool reading_schedule::request(const std::string& engine, common::duration reading,
                               common::time_point now) {
    forget_ended(now);
    auto& until = m_busy_until[engine];
    if (until > now) {
        return false;
    }
    until = now + std::min(reading, max_reading) + send_margin;
    return true;
}

std::size_t reading_schedule::busy(common::time_point now) const {
    return static_cast<std::size_t>(std::count_if(m_busy_until.begin(), m_busy_until.end(),
                                                  [&](const auto& it) { return it.second > now; }));
}

void reading_schedule::forget_ended(common::time_point now) {
    if (now < m_next_cleanup) {
        return;
    }
    m_next_cleanup = now + cleanup_interval;
    std::erase_if(m_busy_until, [&](const auto& it) { return it.second <= now; });
}

} // namespace jujubemast::gateway::instances
