#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "gateway/allowed_regions.h"

namespace jujubemast::gateway {

/// Identifies an order by the gateway that placed it and a number that is unique there.
struct order_key {
    std::string origin;
    std::uint64_t number = 0;

    friend auto operator<=>(const order_key&, const order_key&) = default;
};

/// An order for all pieces of one stage of one request. A piece is the unit of work of a stage and
/// is made by an instance of the stage's service.
struct piece_order {
    order_key key;
    std::string attempt_id;
    std::string service;
    std::uint32_t stage = 0;
    std::uint32_t count = 0;
    /// The request's input, used by stages without dependencies. Other stages use `inputs`.
    std::string input_key;
    std::vector<std::string> inputs;
    /// The service that holds the inputs, if no other stage reads them. They are released as soon
    /// as the calls for the pieces have read them.
    std::string inputs_to_release;
    /// Pieces with smaller values are made first. Two orders of a workspace's priority may differ
    /// in it, see `exchange::rank`.
    int priority = 0;
    double result_bytes = 0;
    /// Failure domain in which the pieces need no large transfer. Empty if no domain is better than
    /// the others.
    std::string preferred_domain;
    /// Regions in which the pieces may be made.
    allowed_regions regions;
    /// When the results are needed for a response within the latency target.
    common::time_point target_time;
    /// The results are useless after this time.
    common::time_point deadline;
};

/// How an order ended.
enum class order_status { made, overloaded, expired, input_gone, failed };

struct order_outcome {
    order_status status = order_status::failed;
    /// Handles of the results in the order of the pieces. Set only if all pieces were made.
    std::vector<std::string> handles;
    /// Retry delay if the service is overloaded.
    common::duration retry_after = common::duration::zero();
};

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::order_status> {
    static constexpr std::array<std::string_view, 5> table{"made", "overloaded", "expired",
                                                           "input_gone", "failed"};
};

} // namespace jujubemast::common
