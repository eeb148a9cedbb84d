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

/// One part of a prompt that requests may share, in the order of the prompt.
struct prompt_part {
    std::string id;
    std::uint32_t tokens = 0;
};

/// A caller's request with what the decisions need decoded once. The message itself is passed on.
struct caller_request {
    http::request message;
    /// Names this attempt of the caller everywhere in the system.
    std::string attempt_id;
    std::string host;
    std::string path;
    /// The key of the caller's workspace; empty without one.
    std::string api_key;
    /// How long the caller waits from the arrival of the request.
    std::optional<common::duration> deadline;
    /// The last event that the caller has; the stream goes on after it.
    std::optional<std::uint64_t> last_event;
    std::vector<prompt_part> prompt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// How many pieces each stage of the route has for this request.
    std::vector<std::uint32_t> piece_counts;
    /// Identifies the request's input towards the stages without predecessors.
    std::string piece_key;
};

/// What the gateway adds to a request that it sends to an upstream instance.
struct forward_options {
    std::string upstream_id;
    common::duration remaining = common::duration::zero();
    std::string workspace;
    /// The stream goes on after this event.
    std::optional<std::uint64_t> last_event;
    /// Results of the request's last stages.
    std::vector<std::string> inputs;
    /// 0 is most urgent, 9 least.
    std::optional<int> urgency;
    /// Address of an instance that holds more of the prompt in its cache.
    std::string cache_source;
};

/// The head of an upstream's answer, as far as decisions need it.
struct response_head {
    unsigned status = 0;
    std::string attempt_id;
    /// The upstream states that it has not run the request and never will.
    bool not_run = false;
    /// A result that the request needs no longer exists.
    bool input_gone = false;
    /// The answer bears the upstream's signature.
    bool has_signature = false;
};

/// Pieces of one stage of one request, for one call or several.
struct piece_item {
    std::string attempt_id;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    common::duration remaining = common::duration::zero();
    /// The request's input, for stages without predecessors; otherwise `inputs` is used.
    std::string key;
    std::vector<std::string> inputs;
};

/// Why a piece was not made.
enum class piece_status { made, expired, input_gone, no_room, failed };

struct piece_result {
    piece_status status = piece_status::failed;
    std::string handle;
};

/// What an instance of a stage service says of itself.
struct instance_report {
    /// Calls that it works on or has queued.
    std::size_t calls = 0;
    /// Room for results is at most this.
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
