#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "http/server.h"
#include "runtime/mailbox.h"

namespace jujubemast::http {

/// The connections of a server that have no request in progress: they are idle, read a request that
/// is not complete, or discard input after their last response. Each enters when its wait begins.
class waiting_connections {
public:
    using id = std::uint64_t;

    /// Adds a connection. Returns the id with which it is removed.
    id add(runtime::address<reply_command> connection);

    void remove(id connection) { m_waiting.erase(connection); }

    /// Removes and returns the connection that has waited longest.
    std::optional<runtime::address<reply_command>> take_oldest();

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

private:
    id m_next_id = 1;
    std::map<id, runtime::address<reply_command>> m_waiting;
};

} // namespace jujubemast::http
