#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "common/time.h"
#include "gateway/configuration.h"
#include "gateway/service_backlog.h"
#include "gateway/stages/estimate_bias.h"
#include "gateway/stages/expected_delay.h"
#include "gateway/stages/stage_progress.h"
#include "gateway/upstream_list.h"

namespace jujubemast::gateway::stages {

/// A request whose stages are estimated.
struct staged_request {
    const configuration& config;
    const route& matched_route;
    const stage_progress& progress;
    int priority = 0;
    /// When the response has to begin to be on time.
    common::time_point target_time;
    /// Whether the request goes on with a stream of which its caller has got events.
    bool resumes = false;
};

/// Estimates how long the stages of a request and the start of its response will take, from the
/// backlogs that the owners of the services report, the requests that this gateway has admitted,
/// and the times that were observed lately. Makes no calls and reads no clock.
class stage_estimator {
public:
    explicit stage_estimator(pieces_ahead_hook pieces_ahead = pieces_ahead_by_target)
        : m_pieces_ahead{std::move(pieces_ahead)} {}

    /// Number of gateways, which are assumed to admit as many requests as this one.
    void set_gateway_count(std::size_t count) { m_gateway_count = count; }

    /// The instances of services whose owners have not reported yet.
    void set_upstreams(upstream_map_pointer known) { m_upstreams = std::move(known); }

    void record_backlog(const service_backlog& reported, common::time_point now);

    /// Adds the pieces of a stage that is not ordered yet.
    void add_upcoming(const staged_request& request, std::uint32_t stage);
    void remove_upcoming(const staged_request& request, std::uint32_t stage);

    /// Records the time that the pieces of a stage took, and the uncorrected estimate for them.
    void record_stage(const staged_request& request, std::uint32_t stage, common::duration estimate,
                      common::duration actual, common::time_point now);

    /// Records the time from the send of a request to an instance of a service to its first event.
    void record_first_event(const std::string& service, common::duration actual,
                            common::time_point now);

    /// Expected time from the send to an instance of a service to the first event.
    [[nodiscard]] common::duration expected_first_event(const std::string& service,
                                                        common::time_point now) const;

    /// Expected time until all stages are complete.
    [[nodiscard]] common::duration expected_stages(const staged_request& request,
                                                   common::time_point now) const;

    /// Time of all stages if nothing waits.
    [[nodiscard]] static common::duration shortest_stages(const staged_request& request);

    /// Expected time of the stages that depend on this one.
    [[nodiscard]] common::duration expected_after(const staged_request& request,
                                                  std::uint32_t stage,
                                                  common::time_point now) const;

    /// When the pieces of a stage have to be complete for a response on time.
    [[nodiscard]] common::time_point stage_target(const staged_request& request,
                                                  std::uint32_t stage, const std::string& service,
                                                  common::time_point now) const;

    /// Expected time of a stage that is ordered after the delay `start`.
    [[nodiscard]] common::duration expected_stage(const staged_request& request,
                                                  std::uint32_t stage, common::duration start,
                                                  common::time_point now) const;

    /// The same without the correction from observed times.
    [[nodiscard]] common::duration uncorrected_stage(const staged_request& request,
                                                     std::uint32_t stage, common::duration start,
                                                     common::time_point now) const;

    /// Whether results of a stage would expire before a dependent stage can read them.
    [[nodiscard]] bool results_would_expire(const staged_request& request,
                                            common::time_point now) const;

    /// Age of the oldest report that the estimate for the stages uses. Nothing without valid
    /// reports.
    [[nodiscard]] std::optional<common::duration> report_age(const route& matched_route,
                                                             common::time_point now) const;

private:
    /// Requests of one kind wait alike: by service, priority and latency target.
    using kind = std::tuple<std::string, int, common::duration>;

    struct known_backlog {
        service_backlog reported;
        common::time_point received;
    };

    [[nodiscard]] static kind kind_of(const staged_request& request, std::uint32_t stage);
    [[nodiscard]] std::size_t count_serving_instances(const std::string& service) const;
    /// Returns the backlog of the stage's service, with the pieces that will have been ordered
    /// after the delay `start`.
    [[nodiscard]] service_backlog backlog_of(const staged_request& request, std::uint32_t stage,
                                             common::duration start, common::time_point now) const;
    /// Returns the last report of the service, or null if there is none that is still valid.
    [[nodiscard]] const known_backlog* find_backlog(const std::string& service,
                                                    common::time_point now) const;
    pieces_ahead_hook m_pieces_ahead;
    std::size_t m_gateway_count = 1;
    upstream_map_pointer m_upstreams;
    std::map<std::string, known_backlog> m_backlogs;
    std::map<kind, estimate_bias> m_biases;
    /// Pieces of admitted requests that have not been ordered yet.
    std::map<kind, std::size_t> m_upcoming;
    std::map<std::string, estimate_bias> m_first_event_biases;
};

} // namespace jujubemast::gateway::stages
