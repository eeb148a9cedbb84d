#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "common/types.h"
#include "load/arrival_schedule.h"

namespace jujubemast::load {

/// Result of a request as its caller sees it. `not_sent` means that the client has reached its own
/// limit, and `wrong` that the content of the response does not belong to the request.
enum class request_result { answered, wrong, not_run, ran, unknown, not_sent };

/// A stage as reported in the response.
struct stage_outcome {
    std::string name;
    std::string upstream;
    std::uint32_t attempts = 1;
    common::duration elapsed = common::duration::zero();
    common::duration queue = common::duration::zero();
    common::duration service = common::duration::zero();
};

/// Content of a complete response.
struct response_content {
    std::string request_id;
    std::string output;
    std::vector<stage_outcome> stages;
};

/// Outcome of one request.
struct request_outcome {
    std::size_t phase = 0;
    std::string traffic;
    std::string workspace;
    common::priority priority = common::priority::standard;
    common::duration deadline = common::duration::zero();
    request_result result = request_result::unknown;
    /// Why the request was refused or failed: name of the problem, error of the connection, or
    /// limit of the client.
    std::string reason;
    /// Time from the scheduled to the actual send time. Large values show that the client is
    /// overloaded.
    common::duration send_lag = common::duration::zero();
    /// Time from the scheduled send time to the end of the response.
    common::duration latency = common::duration::zero();
    /// Time from the scheduled send time to the first token of a streamed response. Zero if there
    /// was none.
    common::duration first_token = common::duration::zero();
    std::vector<common::duration> token_gaps;
    std::vector<stage_outcome> stages;

    [[nodiscard]] bool within_deadline() const {
        return result == request_result::answered && latency <= deadline;
    }
};

/// Checks the content of a response. Returns an error message, or an empty string if the content is
/// correct.
using verify_hook = std::function<std::string(const planned_request&, const response_content&)>;

} // namespace jujubemast::load

namespace jujubemast::common {

template <>
struct enum_names<load::request_result> {
    static constexpr std::array<std::string_view, 6> table{"answered", "wrong",   "not_run",
                                                           "ran",      "unknown", "not_sent"};
};

} // namespace jujubemast::common
