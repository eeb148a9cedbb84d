#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "common/time.h"
#include "gateway/messages.h"

namespace jujubemast::wire {

/// Heartbeat of a gateway.
struct gateway_ping {
    /// The sender has recently received a message from the receiver.
    bool hears_receiver = false;
    /// The sender is stopping and no longer owns any service.
    bool leaving = false;
    /// When the ping was sent, in the clock of its sender. Not set by earlier releases.
    std::optional<common::time_point> sent;
};

using gateway_content =
    std::variant<gateway_ping, gateway::piece_order, gateway::cancel_order,
                 gateway::release_results, gateway::order_finished, gateway::backlog_report,
                 gateway::outcome_acknowledged, gateway::instance_leaving, gateway::table_relay,
                 gateway::crash_evidence, gateway::domain_drains, gateway::reading_request,
                 gateway::reading_response, gateway::reading_ended>;

/// A message from one gateway to another.
struct gateway_message {
    std::string sender;
    /// Random number that the sender chooses at each start.
    std::uint64_t incarnation = 0;
    gateway_content content;
};

/// Encodes a message. Times are sent as the durations remaining at `now`, because the clocks of
/// two processes are not related. The time of a `table_relay` must be in
/// the receiver's clock.
std::string encode(const gateway_message& message, common::time_point now);

/// Decodes a message. Orders, their cancellations and acknowledgements get the sender as origin of
/// their key, and questions for a reading get it as their origin. Throws
/// `common::format_error` if the bytes are malformed, the message has no content, or the status of
/// an order or a table is unknown.
gateway_message decode_gateway_message(std::string_view bytes, common::time_point now);

} // namespace jujubemast::wire
