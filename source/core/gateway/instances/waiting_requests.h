#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <set>

#include "common/time.h"

namespace jujubemast::gateway::instances {

/// Requests that wait until an instance of their service can take one: a connection becomes free,
/// or a pause ends. Lower ranks come first and, within a rank, the earliest arrival.
class waiting_requests {
public:
    void push(std::uint64_t id, int rank, common::time_point arrived) {
        m_waiting.insert({rank, arrived, id});
    }

    void remove(std::uint64_t id) {
        std::erase_if(m_waiting, [id](const waiting& it) { return it.id == id; });
    }

    /// Returns the request that is served next.
    [[nodiscard]] std::optional<std::uint64_t> front() const {
        return m_waiting.empty() ? std::nullopt : std::optional{m_waiting.begin()->id};
    }

    [[nodiscard]] bool contains(std::uint64_t id) const {
        return std::any_of(m_waiting.begin(), m_waiting.end(),
                           [id](const waiting& it) { return it.id == id; });
    }

    /// Returns the request that is served after this one, if both wait.
    [[nodiscard]] std::optional<std::uint64_t> next_after(std::uint64_t id) const {
        auto it = std::find_if(m_waiting.begin(), m_waiting.end(),
                               [id](const waiting& known) { return known.id == id; });
        if (it == m_waiting.end() || ++it == m_waiting.end()) {
            return std::nullopt;
        }
        return it->id;
    }

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

private:
    struct waiting {
        int rank = 0;
        common::time_point arrived;
        std::uint64_t id = 0;

        friend auto operator<=>(const waiting&, const waiting&) = default;
    };

    std::set<waiting> m_waiting;
};

} // namespace jujubemast::gateway::instances
