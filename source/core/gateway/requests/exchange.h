#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/caller_request.h"
#include "gateway/configuration.h"
#include "gateway/crash_evidence.h"
#include "gateway/instances/reading_search.h"
#include "gateway/instances/service_pool.h"
#include "gateway/messages.h"
#include "gateway/requests/event_relay.h"
#include "gateway/requests/upstream_attempt.h"
#include "gateway/stages/stage_progress.h"
#include "http/server.h"
#include "runtime/executor.h"

namespace jujubemast::gateway::requests {

/// Times of one request, for its log line.
struct exchange_times {
    common::time_point arrived;
    std::optional<common::time_point> first_sent;
    std::optional<common::time_point> first_byte;
    std::optional<common::time_point> first_event;
    common::time_point last_event;
    common::duration longest_event_gap = common::duration::zero();
};

/// The stages of one request that are in progress or still to come.
struct exchange_stages {
    /// An order in progress for the pieces of a stage.
    struct order {
        std::uint32_t stage = 0;
        common::time_point sent;
        common::duration expected = common::duration::zero();
    };

    stages::stage_progress progress;
    /// Stages that have not been ordered yet.
    std::set<std::uint32_t> upcoming;
    /// When the first of the results expires.
    std::optional<common::time_point> results_expire_at;
    /// By order number.
    std::map<std::uint64_t, order> orders;
    /// The basis of the admission decision: expected and allowed time of the stages.
    common::duration expected = common::duration::zero();
    common::duration allowed = common::duration::zero();
};

/// What keeps a stream that can be resumed at one software version.
struct exchange_origin {
    /// The attempt that brings or has brought the first event.
    std::string attempt_id;
    /// The version that began the stream. Unknown until an instance has sent an event, or the
    /// version of a resumed stream has been found.
    std::optional<std::string> version;
    /// The service in which the version of a resumed stream was looked up.
    std::string service;
    /// When the version of a resumed stream began to be looked up.
    std::optional<common::time_point> search_began;
    /// Whether the store was asked to record the stream.
    bool is_recording = false;
    /// The first events wait until the stream is recorded.
    bool keeps_events = false;
    std::string kept_events;
    /// The response of the instance is complete, but its events are still kept.
    bool is_answered = false;
};

/// A caller's request in progress, from its arrival to the end of its response.
struct exchange {
    std::uint64_t id = 0;
    caller_request request;
    http::responder reply;
    /// Keeps the matched route alive while the configuration changes.
    configuration_pointer configuration;
    const route* matched_route = nullptr;
    std::string service;
    std::string workspace;
    int priority = 0;
    /// Regions in which the request and its stages may run.
    allowed_regions regions;

    exchange_times times;
    common::time_point response_deadline;
    /// A first event of a stream after this time is useless to the caller. The request ends at this
    /// time unless the relay of a stream has begun.
    common::time_point first_event_deadline;
    std::unique_ptr<runtime::timer> deadline_timer;
    /// An ordered stop of this gateway ends the request before its own deadline.
    bool limited_by_stop = false;

    exchange_origin origin;
    exchange_stages stages;
    std::unique_ptr<runtime::timer> input_release_timer;

    /// Events of the stream that have reached the caller. Outlives the attempts.
    event_relay events;
    /// The response to the caller has begun.
    bool relaying = false;
    /// The request waits until an instance can take it.
    bool waiting = false;
    /// The search for an engine that may read the prompt, before a send.
    std::optional<instances::reading_search> reading;
    /// The choice that the last question of the search asks about.
    instances::instance_choice reading_choice;
    std::unique_ptr<runtime::timer> reading_timer;
    /// Number of the last question of the search.
    std::uint64_t reading_number = 0;
    /// What the owner of the engine is told when the reading ends. Set while it may have granted
    /// one.
    std::optional<reading_ended> reading_end;
    /// The choice whose incarnation is being checked, and the number of that check.
    instances::instance_choice unchecked_choice;
    std::uint64_t check_number = 0;
    /// The current attempt, or the last one.
    std::unique_ptr<upstream_attempt> attempt;
    /// Number of sends, and of those that may have run.
    unsigned sends = 0;
    unsigned possible_runs = 0;
    /// Ids of the instances that have been tried.
    std::vector<std::string> tried;

    /// The parts of the prompt that other requests may share.
    std::vector<prompt_part_id> shared_parts;
    /// First event of the current attempt.
    std::optional<common::time_point> writing_since;

    /// Whether a caller may resume the stream that this request begins or goes on with.
    [[nodiscard]] bool is_resumable_stream() const {
        return matched_route->kind == repeatability::stream && matched_route->resumable;
    }

    /// Whether the caller resumes a stream.
    [[nodiscard]] bool resumes_stream() const {
        return is_resumable_stream() && request.last_event.has_value();
    }

    /// Whether the version of a resumed stream is being looked up.
    [[nodiscard]] bool is_search_in_progress() const {
        return origin.search_began && !origin.version;
    }

    /// Whether the caller has got events of the stream already, now or in an earlier attempt.
    [[nodiscard]] bool goes_on() const { return relaying || resumes_stream(); }

    /// The order in which requests are served, smaller values first: by priority and, within a
    /// priority, those that go on with a stream. A refusal of these wastes what was made of it.
    [[nodiscard]] int rank() const { return 2 * priority + (goes_on() ? 0 : 1); }

    [[nodiscard]] bool is_sent() const { return attempt && attempt->in_progress(); }

    /// Id of the instance of the last attempt, or an empty string.
    [[nodiscard]] std::string upstream_id() const {
        return attempt ? attempt->member()->identity.id : std::string{};
    }
};

} // namespace jujubemast::gateway::requests
