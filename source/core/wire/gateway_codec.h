#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "common/time.h"
#include "gateway/messages.h"

namespace jujubemast::wire {

/// Shows that a gateway lives.
struct gateway_ping {
    /// The sender has heard the receiver lately.
    bool hears_receiver = false;
    /// The sender is stopping and owns no service any more.
    bool leaving = false;
};

using gateway_content =
    std::variant<gateway_ping, gateway::piece_order, gateway::cancel_order,
                 gateway::release_results, gateway::order_finished, gateway::backlog_report>;

/// A message from one gateway to another.
struct gateway_message {
    std::string sender;
    /// Random number of one start of the sender.
    std::uint64_t incarnation = 0;
    gateway_content content;
};

/// Encodes a message. Times are sent as durations that remain at `now`.
std::string encode(const gateway_message& message, common::time_point now);

/// Decodes a message; orders and outcomes carry the sender as origin where they need one. Throws
/// `common::format_error` for bytes that are not a message.
gateway_message decode_gateway_message(std::string_view bytes, common::time_point now);

} // namespace jujubemast::wire
