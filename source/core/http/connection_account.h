#pragma once

#include <array>
#include <cstddef>
#include <limits>
#include <memory>

#include "common/enum_names.h"
#include "http/buffer_budget.h"

namespace jujubemast::http {

/// What a connection holds memory for: bytes that are not parsed, the header of the current
/// request, its body, and output that the client has not read.
enum class memory_use { input, header, body, output };

/// Memory for all connections of a server.
struct server_memory {
    /// Unparsed input and headers.
    buffer_budget input;
    /// Bodies, each with the copies that its handler holds.
    buffer_budget bodies;
    buffer_budget output;
    /// Limit for each connection, over all uses.
    std::size_t connection_limit = std::numeric_limits<std::size_t>::max();

    buffer_budget& budget_of(memory_use use);
};

/// Counts everything that one connection makes the process hold, against the limit of the
/// connection and the budgets of the server.
class connection_account {
public:
    explicit connection_account(std::shared_ptr<server_memory> memory)
        : m_memory{std::move(memory)} {}
    ~connection_account();
    connection_account(const connection_account&) = delete;
    connection_account& operator=(const connection_account&) = delete;

    /// Sets what the connection holds for one use. Returns false, and changes nothing, if that is
    /// more than it may hold.
    [[nodiscard]] bool set(memory_use use, std::size_t bytes);

    void release(memory_use use, std::size_t bytes);

    /// Releases all that is held for one use.
    void clear(memory_use use) { release(use, held(use)); }

    [[nodiscard]] std::size_t held(memory_use use) const {
        return m_held.at(static_cast<std::size_t>(use));
    }

    [[nodiscard]] std::size_t total() const;

private:
    std::shared_ptr<server_memory> m_memory;
    std::array<std::size_t, 4> m_held{};
};

} // namespace jujubemast::http

namespace jujubemast::common {

template <>
struct enum_names<http::memory_use> {
    static constexpr std::array<std::string_view, 4> table{"input", "header", "body", "output"};
};

} // namespace jujubemast::common
