#include <algorithm>
#include <utility>

#include "common/digest.h"
#include "gateway/requests/forwarder.h"
#include "gateway/statuses.h"

// Streams that can be resumed. What two software versions of a service write does not fit together,
// so such a stream goes on only at the version that began it, at whichever gateway.

namespace jujubemast::gateway::requests {

namespace {

// Events that an instance sends before its stream is recorded, beyond which they are passed on.
constexpr std::size_t max_kept_bytes = 2 * max_event_bytes;

} // namespace

double forwarder::service_share(const exchange& ex) const {
    constexpr std::uint64_t steps = 1U << 20U;
    // A stream that is resumed goes to the service that began it, unless the route has changed.
    const auto step = ex.is_resumable_stream() ? common::digest_of(ex.origin.attempt_id) % steps
                                               : common::uniform_below(m_options.random, steps);
    return static_cast<double>(step) / steps;
}

const usable_versions* forwarder::listed_versions_of(const std::string& service) const {
    const auto it = m_listed_versions.find(service);
    return it == m_listed_versions.end() ? nullptr : &it->second;
}

instances::instance_filter forwarder::allowed_instances(const exchange& ex) const {
    instances::instance_filter allowed{ex.regions};
    if (!ex.is_resumable_stream()) {
        return allowed;
    }
    if (ex.origin.version) {
        return allowed.bound_to(*ex.origin.version);
    }
    const auto* listed = listed_versions_of(ex.service);
    return allowed.with_versions(listed != nullptr ? listed->versions : std::set<std::string>{});
}

bool forwarder::prepare_stream(exchange& ex) {
    if (ex.resumes_stream() && (!ex.origin.version || ex.origin.service != ex.service)) {
        find_origin(ex);
        return false;
    }
    const bool has_instance =
        std::any_of(m_upstreams->begin(), m_upstreams->end(),
                    [&, allowed = allowed_instances(ex)](const auto& it) {
                        return it.second.service == ex.service && allowed.allows(it.second);
                    });
    if (has_instance) {
        return true;
    }
    if (ex.resumes_stream()) {
        refuse_resumed(ex, resumed_outcome::no_instance,
                       "no instance of the software version that began the stream");
        return false;
    }
    const bool is_unlisted =
        std::any_of(m_upstreams->begin(), m_upstreams->end(),
                    [&](const auto& it) { return it.second.service == ex.service; });
    if (is_unlisted) {
        // Their versions are about to be listed.
        hold(ex);
    }
    return !is_unlisted;
}

void forwarder::find_origin(exchange& ex) {
    start_hold_timer(ex);
    if (ex.is_search_in_progress()) {
        return;
    }
    ex.origin.version.reset();
    ex.origin.service = ex.service;
    ex.origin.search_began = common::monotonic_clock::now();
    if (!m_streams.send(find_stream{ex.id, {ex.service, ex.origin.attempt_id}})) {
        refuse_resumed(ex, resumed_outcome::unavailable, "too many streams are looked up");
    }
}

void forwarder::handle(const stream_found& message) {
    auto* ex = find(message.request);
    if (ex == nullptr) {
        return;
    }
    const auto took = common::monotonic_clock::now() - *ex->origin.search_began;
    m_log.info("Looked up the software version of a stream.",
               {{"attempt", ex->request.attempt_id},
                {"resumed_attempt", ex->origin.attempt_id},
                {"service", ex->service},
                {"outcome", std::string{common::to_name(message.outcome)}},
                {"version", message.version},
                {"ms", std::to_string(static_cast<std::int64_t>(common::to_milliseconds(took)))}});
    switch (message.outcome) {
    case find_outcome::found:
        m_metrics.record_resumed_stream(resumed_outcome::found);
        ex->origin.version = message.version;
        begin(*ex);
        return;
    case find_outcome::unknown:
        refuse_resumed(*ex, resumed_outcome::unknown,
                       "the software version that began the stream is not known");
        return;
    case find_outcome::unavailable:
        refuse_resumed(*ex, resumed_outcome::unavailable,
                       "the store does not say which software version began the stream");
        return;
    }
}

void forwarder::refuse_resumed(exchange& ex, resumed_outcome outcome, const std::string& reason) {
    m_metrics.record_resumed_stream(outcome);
    refuse(ex, status_unavailable, reason);
}

void forwarder::record_origin(exchange& ex) {
    auto& origin = ex.origin;
    if (!ex.is_resumable_stream() || origin.version) {
        return;
    }
    origin.version = ex.attempt->member()->identity.version;
    origin.keeps_events = record_in_store(ex);
}

bool forwarder::record_in_store(exchange& ex) {
    auto& origin = ex.origin;
    const auto* listed = listed_versions_of(ex.service);
    const bool is_only_version = listed != nullptr && listed->is_complete &&
                                 listed->versions.size() == 1 &&
                                 listed->versions.contains(*origin.version);
    if (origin.is_recording || is_only_version) {
        return false;
    }
    origin.is_recording =
        m_streams.send(record_stream{ex.id, {ex.service, origin.attempt_id}, *origin.version});
    return origin.is_recording;
}

void forwarder::handle(const stream_recorded& message) {
    m_metrics.record_recorded_stream(message.outcome);
    if (auto* ex = find(message.request); ex != nullptr && ex->origin.keeps_events) {
        recording_ended(*ex);
    }
}

void forwarder::handle(const stream_versions_changed& message) {
    m_listed_versions = message.listed;
    // Streams that began before another version was listed are not recorded yet.
    record_known_streams();
    for (const auto& [service, versions] : m_listed_versions) {
        schedule_waiting(service);
    }
    if (m_configuration && m_upstreams) {
        begin_held_requests();
    }
}

void forwarder::record_known_streams() {
    for (const auto& [id, ex] : m_exchanges) {
        if (ex->origin.version) {
            record_in_store(*ex);
        }
    }
}

void forwarder::record_streams_again() {
    for (const auto& [id, ex] : m_exchanges) {
        ex->origin.is_recording = false;
    }
    record_known_streams();
}

void forwarder::pass_on(exchange& ex, std::string events) {
    if (ex.origin.keeps_events && ex.origin.kept_events.size() < max_kept_bytes) {
        ex.origin.kept_events += events;
        return;
    }
    release_events(ex);
    if (!ex.relaying) {
        // Until the first event, a failure or another attempt can still end the request.
        ex.relaying = true;
        const auto& response = ex.attempt->response();
        ex.reply.begin({response.head.status, m_adapter->response_fields(response.fields), {}});
    }
    ex.reply.write(std::move(events));
}

void forwarder::recording_ended(exchange& ex) {
    release_events(ex);
    if (std::exchange(ex.origin.is_answered, false)) {
        answered(ex, ex.attempt->response());
    }
}

void forwarder::release_events(exchange& ex) {
    if (std::exchange(ex.origin.keeps_events, false)) {
        pass_on(ex, std::exchange(ex.origin.kept_events, {}));
    }
}

} // namespace jujubemast::gateway::requests
