#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/time.h"

namespace jujubemast::gateway::instances {

/// Remembers the prompt prefixes that this gateway has sent lately, and to which instances.
class prefix_memory {
public:
    /// An engine under load is assumed to keep a prefix for this time after its last use.
    static constexpr common::duration retention = std::chrono::seconds{60};
    static constexpr std::size_t max_prefixes = 1024;

    void record(std::uint64_t prefix, std::uint64_t instance, common::time_point now);

    /// Whether the prefix was sent to the instance within the retention time.
    [[nodiscard]] bool holds(std::uint64_t prefix, std::uint64_t instance,
                             common::time_point now) const;

    /// Number of requests with this prefix, of which those before the last retention time hardly
    /// count.
    [[nodiscard]] double uses(std::uint64_t prefix, common::time_point now) const;

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    static constexpr std::size_t max_instances = 8;

    struct entry {
        double uses = 0;
        common::time_point last_use;
        /// The newest use comes last.
        std::vector<std::pair<std::uint64_t, common::time_point>> instances;
    };

    [[nodiscard]] static double uses_at(const entry& of, common::time_point now);
    void remove_oldest();

    std::unordered_map<std::uint64_t, entry> m_entries;
};

} // namespace jujubemast::gateway::instances
