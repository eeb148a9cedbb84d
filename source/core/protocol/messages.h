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

/// Names one execution of one stage. The incarnation is the random number of the sidecar process
/// that the work is addressed to.
struct work_identity {
    std::string request_id;
    std::uint32_t stage = 0;
    std::uint32_t attempt = 0;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const work_identity&, const work_identity&) = default;
};

/// Why a sidecar did not complete a piece of work.
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

/// Load of one upstream, as its sidecar sees it.
struct load_report {
    std::uint32_t queued = 0;
    std::uint32_t in_progress = 0;
    std::uint32_t limit = 0;
    /// Expected wait of newly queued work of each priority, in microseconds.
    std::array<std::int64_t, 3> queue_wait_us{};
    /// Work that finished or failed since the sidecar started.
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
    /// The membership list that the entry holds says that this instance is leaving.
    bool leaving = false;
};

/// Answer to a heartbeat, with what routing needs to know.
struct pong {
    std::uint64_t nonce = 0;
    std::uint64_t incarnation = 0;
    /// The sidecar's monotonic clock in microseconds.
    std::int64_t clock_us = 0;
    std::uint64_t revision = 0;
    bool draining = false;
    load_report load;
    /// Number of the connection that the heartbeat came over. A new number tells the entry that
    /// the transport has reconnected and may have lost messages in both directions.
    std::uint64_t connection = 0;
};

/// Asks a sidecar to run one stage.
struct dispatch {
    work_identity identity;
    /// In the sidecar's monotonic clock, in microseconds.
    std::int64_t deadline_us = 0;
    std::uint64_t revision = 0;
    std::string workspace;
    common::priority priority = common::priority::standard;
    bool idempotent = true;
    std::string operation;
    std::string model;
    std::string body;
    std::uint64_t resume_offset = 0;
    /// Expected service time in microseconds; zero when nothing is known.
    std::int64_t estimated_cost_us = 0;
    std::string trace_parent;
    /// Time that later stages need before the deadline, in microseconds.
    std::int64_t reserve_us = 0;
    /// Most tokens that the stage may generate; zero when it generates none.
    std::uint32_t max_output_tokens = 0;
};

/// A piece of a result; sequence numbers start at zero.
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
    /// Load of the upstream, added from time to time so that heartbeats can be rare.
    std::optional<load_report> load = {};
};

/// Ends a piece of work without a result.
struct refusal {
    work_identity identity;
    refusal_reason reason = refusal_reason::overloaded;
    common::execution execution = common::execution::unknown;
    std::int64_t retry_after_us = 0;
    std::string detail;
};

struct cancel {
    work_identity identity;
    /// The deadline of the cancelled dispatch; until then a late copy of it has to be refused.
    std::int64_t deadline_us = 0;
};

/// Confirms a cancellation and says whether the work was executed.
struct cancelled {
    work_identity identity;
    common::execution execution = common::execution::unknown;
};

/// Lets the sidecar drop a result that has arrived whole.
struct acknowledge {
    work_identity identity;
};

/// Asks for the chunks of a result again, from this sequence number on. Work that the sidecar does
/// not know is refused as not run and stays refused until the deadline.
struct fetch {
    work_identity identity;
    std::uint32_t from_sequence = 0;
    /// The deadline of the dispatch.
    std::int64_t deadline_us = 0;
};

struct configuration_fetch {
    std::uint64_t revision = 0;
};

/// The configuration in force at the sender, as a JSON document.
struct configuration_state {
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    std::string document;
};

using message =
    std::variant<ping, pong, dispatch, result_chunk, result_end, refusal, cancel, cancelled,
                 acknowledge, fetch, configuration_fetch, configuration_state>;

/// Returns the identity of the work that a message is about; an empty one for other messages.
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
