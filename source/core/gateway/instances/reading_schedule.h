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

/// The question for a reading: the gateway that asked, and its number there.
struct reading_key {
    std::string origin;
    std::uint64_t number = 0;

    bool operator==(const reading_key&) const = default;
};

/// The long prompts that engines read, as far as the owner of these engines has granted them. A
/// grant lasts until its reading is reported as ended, and ends by itself after a multiple of the
/// estimated time, so that a lost message or gateway does not block an engine for long. Reads no
/// clock.
class reading_schedule {
public:
    /// Grants the reading of a prompt that begins now, unless the engine reads another one. Returns
    /// whether it was granted.
    bool request(const std::string& engine, reading_key key, common::duration estimate,
                 common::time_point now);

    /// Ends the grant of this question. Another grant of the engine is kept.
    void end(const std::string& engine, const reading_key& key);

    /// Expected time until the engine has read its current prompt.
    [[nodiscard]] common::duration free_in(const std::string& engine, common::time_point now) const;

    /// Number of engines that read a prompt.
    [[nodiscard]] std::size_t busy(common::time_point now) const;

private:
    void forget_ended(common::time_point now);

    struct grant {
        reading_key key;
        common::time_point expected_end;
        /// When the grant ends by itself.
        common::time_point limit;
    };

    /// Grant of the current reading, by engine.
    std::map<std::string, grant> m_grants;
    common::time_point m_next_cleanup;
};

} // namespace jujubemast::gateway::instances
