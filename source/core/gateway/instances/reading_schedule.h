#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "common/time.h"

namespace jujubemast::gateway::instances {

/// Time that a model engine needs to read a prompt of which it has nothing in its cache.
common::duration reading_time(std::uint32_t prompt_tokens);

/// Whether a prompt takes so long to read that two at the same time delay the events of other
/// streams beyond their target.
bool is_long_prompt(std::uint32_t prompt_tokens);

/// The long prompts that engines read, as far as the owner of these engines has granted them. A
/// grant ends by itself, so a lost response or an unused grant blocks its engine for one reading at
/// most. Reads no clock.
class reading_schedule {
public:
    /// Grants the reading of a prompt that begins now, unless the engine reads another one. Returns
    /// whether it was granted.
    bool request(const std::string& engine, common::duration reading, common::time_point now);

    /// Number of engines that read a prompt.
    [[nodiscard]] std::size_t busy(common::time_point now) const;

private:
    void forget_ended(common::time_point now);

    /// End of the current reading, by engine.
    std::map<std::string, common::time_point> m_busy_until;
    common::time_point m_next_cleanup;
};

} // namespace jujubemast::gateway::instances
