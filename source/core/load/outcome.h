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

/// How a request ended, as its caller can tell. `not_sent` is the client's own limit, and `wrong`
/// is an answer whose content is not that of the request.
enum class request_result { answered, wrong, not_run, ran, unknown, not_sent };

/// One stage as the answer reports it.
struct stage_outcome {
    std::string name;
    std::string upstream;
    std::uint32_t attempts = 1;
    common::duration elapsed = common::duration::zero();
    common::duration queue = common::duration::zero();
    common::duration service = common::duration::zero();
};

/// A whole answer.
struct response_content {
    std::string request_id;
    std::string output;
    std::vector<stage_outcome> stages;
};

/// What became of one request.
struct request_outcome {
    std::size_t phase = 0;
    std::string traffic;
    std::string workspace;
    common::priority priority = common::priority::standard;
    common::duration deadline = common::duration::zero();
    request_result result = request_result::unknown;
    /// Why a request was refused or failed: the problem's name or the transport's fault.
    std::string reason;
    /// From the intended to the actual send time; shows whether the client keeps up.
    common::duration send_lag = common::duration::zero();
    /// From the intended send time to the end of the answer.
    common::duration latency = common::duration::zero();
    /// From the intended send time to the first token of a streamed answer; zero without one.
    common::duration first_token = common::duration::zero();
    std::vector<common::duration> token_gaps;
    std::vector<stage_outcome> stages;

    [[nodiscard]] bool within_deadline() const {
        return result == request_result::answered && latency <= deadline;
    }
};

/// Checks the content of an answer. Returns a complaint, or an empty string for a right answer.
using verify_hook = std::function<std::string(const planned_request&, const response_content&)>;

} // namespace jujubemast::load

namespace jujubemast::common {

template <>
struct enum_names<load::request_result> {
    static constexpr std::array<std::string_view, 6> table{"answered", "wrong",   "not_run",
                                                           "ran",      "unknown", "not_sent"};
};

} // namespace jujubemast::common
