#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "http/message.h"

namespace jujubemast::gateway {

/// A part of a prompt that several requests may share. Parts are listed in prompt order.
struct prompt_part {
    std::string id;
    std::uint32_t tokens = 0;
};

/// A caller's request, with the fields that decisions need already decoded. The message itself is
/// passed on.
struct caller_request {
    http::request message;
    /// Identifies this attempt of the caller throughout the system.
    std::string attempt_id;
    std::string host;
    std::string path;
    /// API key of the caller's workspace. Empty if the caller sent none.
    std::string api_key;
    /// How long the caller waits, counted from the arrival of the request.
    std::optional<common::duration> deadline;
    /// Id of the last event that the caller has received. The stream resumes after it.
    std::optional<std::uint64_t> last_event;
    /// If the caller resumes a stream: the attempt that brought its first event. Empty if the
    /// caller does not say so.
    std::string resumed_attempt_id;
    std::vector<prompt_part> prompt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// Number of pieces of each stage of the route for this request.
    std::vector<std::uint32_t> piece_counts;
    /// Identifies the request's input to stages without dependencies.
    std::string piece_key;
};

/// What the gateway adds to a request that it forwards to an upstream instance.
struct forward_options {
    std::string upstream_id;
    common::duration remaining = common::duration::zero();
    std::string workspace;
    /// The stream resumes after the event with this id.
    std::optional<std::uint64_t> last_event;
    /// Handles of the results of the request's last stages.
    std::vector<std::string> inputs;
    /// 0 is the most urgent value, 9 the least urgent.
    std::optional<int> urgency;
    /// Address of an instance that has a longer prefix of the prompt in its cache.
    std::string cache_source;
};

/// The parts of an upstream's response head that decisions need.
struct response_head {
    unsigned status = 0;
    std::string attempt_id;
    /// The upstream states that it has not run the request and never will.
    bool not_run = false;
    /// A stage result that the request needs no longer exists.
    bool input_gone = false;
    /// The response carries the upstream's signature.
    bool has_signature = false;
    /// The upstream is about to stop and wants no new work.
    bool leaving = false;
    /// The upstream wants no requests for this long.
    std::optional<common::duration> pause;
};

/// One piece of a stage of a request, as an entry of a call.
struct piece_item {
    std::string attempt_id;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    common::duration remaining = common::duration::zero();
    /// The request's input, used by stages without dependencies. Other stages use `inputs`.
    std::string key;
    std::vector<std::string> inputs;
};

/// The result of making one piece.
enum class piece_status { made, expired, input_gone, no_room, failed };

struct piece_result {
    piece_status status = piece_status::failed;
    std::string handle;
};

/// The load that an instance of a stage service reports.
struct instance_report {
    /// Calls that are running or queued at the instance.
    std::size_t calls = 0;
    /// Upper bound of the free memory for results.
    double max_free_bytes = 0;
};

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::piece_status> {
    static constexpr std::array<std::string_view, 5> table{"made", "expired", "input_gone",
                                                           "no_room", "failed"};
};

} // namespace jujubemast::common
