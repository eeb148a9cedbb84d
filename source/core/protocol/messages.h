#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/enum_names.h"
#include "common/types.h"

namespace jujubemast::protocol {

/// Identifies one execution of one stage. The incarnation is a random number that identifies the
/// sidecar process that the work is addressed to.
struct work_identity {
    std::string request_id;
    std::uint32_t stage = 0;
    std::uint32_t attempt = 0;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const work_identity&, const work_identity&) = default;
};

/// Why a sidecar did not complete a dispatched stage.
enum class refusal_reason {
    wrong_incarnation,
    deadline_passed,
    deadline_unreachable,
    cancelled,
    draining,
    overloaded,
    upstream_failed,
    model_unavailable,
    not_found
};

/// Load of one upstream, as measured by its sidecar.
struct load_report {
    std::uint32_t queued = 0;
    std::uint32_t in_progress = 0;
    std::uint32_t limit = 0;
    /// Expected wait of new work of each priority, in microseconds.
    std::array<std::int64_t, 3> queue_wait_us{};
    /// Number of requests completed and failed since the sidecar started.
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::vector<std::string> models;

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Heartbeat from entry to sidecar.
struct ping {
    std::string entry;
    std::uint64_t nonce = 0;
    std::uint64_t revision = 0;
    /// The instance is marked as leaving in the membership list of the entry.
    bool leaving = false;
};

/// Answer to a heartbeat, with the state that routing uses.
struct pong {
    std::uint64_t nonce = 0;
    std::uint64_t incarnation = 0;
    /// The sidecar's monotonic clock in microseconds.
    std::int64_t clock_us = 0;
    std::uint64_t revision = 0;
    bool draining = false;
    load_report load;
    /// Number of the connection over which the heartbeat arrived. A changed number shows the entry
    /// that the transport has reconnected and may have lost messages in both directions.
    std::uint64_t connection = 0;
};

/// Asks a sidecar to run one stage.
struct dispatch {
    work_identity identity;
    /// Time on the sidecar's monotonic clock, in microseconds.
    std::int64_t deadline_us = 0;
    std::uint64_t revision = 0;
    std::string workspace;
    common::priority priority = common::priority::standard;
    bool idempotent = true;
    std::string operation;
    std::string model;
    std::string body;
    std::uint64_t resume_offset = 0;
    /// Expected service time in microseconds; zero when unknown.
    std::int64_t estimated_cost_us = 0;
    std::string trace_parent;
    /// Time before the deadline that is reserved for later stages, in microseconds.
    std::int64_t reserve_us = 0;
    /// Maximum number of tokens that the stage may generate; zero when it generates none.
    std::uint32_t max_output_tokens = 0;
};

/// A chunk of a result; sequence numbers start at zero.
struct result_chunk {
    work_identity identity;
    std::uint32_t sequence = 0;
    std::string payload;
};

/// Completes a result. The digest covers the payloads of all chunks in order.
struct result_end {
    work_identity identity;
    std::uint32_t chunk_count = 0;
    std::uint64_t digest = 0;
    std::int64_t queue_us = 0;
    std::int64_t service_us = 0;
    /// Load of the upstream, included from time to time so that fewer heartbeats are needed.
    std::optional<load_report> load = {};
};

/// Ends the execution of a stage without a result.
struct refusal {
    work_identity identity;
    refusal_reason reason = refusal_reason::overloaded;
    common::execution execution = common::execution::unknown;
    std::int64_t retry_after_us = 0;
    std::string detail;
};

struct cancel {
    work_identity identity;
    /// The deadline of the cancelled dispatch. Until then the sidecar refuses a dispatch with this
    /// identity that arrives late.
    std::int64_t deadline_us = 0;
};

/// Confirms a cancellation and says whether the work was executed.
struct cancelled {
    work_identity identity;
    common::execution execution = common::execution::unknown;
};

/// Confirms that a result has arrived completely, so that the sidecar can discard it.
struct acknowledge {
    work_identity identity;
};

/// Requests the chunks of a result again, from this sequence number on. If the sidecar does not
/// know the work, it reports it as not run and refuses a later dispatch of it until the deadline.
struct fetch {
    work_identity identity;
    std::uint32_t from_sequence = 0;
    /// The deadline of the dispatch.
    std::int64_t deadline_us = 0;
};

struct configuration_fetch {
    std::uint64_t revision = 0;
};

/// The active configuration of the sender, as a JSON document.
struct configuration_state {
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    std::string document;
};

using message =
    std::variant<ping, pong, dispatch, result_chunk, result_end, refusal, cancel, cancelled,
                 acknowledge, fetch, configuration_fetch, configuration_state>;

/// Returns the identity of the work that a message refers to; an empty one for other messages.
work_identity identity_of(const message& content);

} // namespace jujubemast::protocol

namespace jujubemast::common {

template <>
struct enum_names<protocol::refusal_reason> {
    static constexpr std::array<std::string_view, 9> table{
        "wrong_incarnation", "deadline_passed", "deadline_unreachable", "cancelled", "draining",
        "overloaded",        "upstream_failed", "model_unavailable",    "not_found"};
};

} // namespace jujubemast::common
