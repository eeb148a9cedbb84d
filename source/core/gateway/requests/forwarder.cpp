#include "gateway/requests/forwarder.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "gateway/statuses.h"

namespace jujubemast::gateway::requests {

namespace {

// Retry delay of refusals for which no better estimate exists.
constexpr common::duration default_retry_after = std::chrono::milliseconds{300};

} // namespace

forwarder::forwarder(runtime::task_context context,
                     std::shared_ptr<runtime::mailbox<forwarder_message>> inbox,
                     runtime::address<peers_message> peers,
                     runtime::address<stream_registry_message> streams,
                     std::shared_ptr<const adapter> platform_adapter, forwarder_options options)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_peers{std::move(peers)},
      m_streams{std::move(streams)}, m_adapter{std::move(platform_adapter)},
      m_options{std::move(options)}, m_bodies{m_options.response_buffer_bytes},
      m_warm_up_share{m_options.name, {.max_names_age = m_options.staleness_limit}},
      m_settling_timer{m_context.loop()},
      // Starts at a random number, because another gateway may still remember the orders of this
      // gateway's previous run.
      m_next_order{m_options.random() >> 1U}, m_next_question{m_options.random() >> 1U},
      m_pause_guard_timer{m_context.loop()}, m_suspects{{},
                                                        [this](const evidence::suspect_view& part) {
                                                            log_suspect(part);
                                                        }},
      m_evidence_timer{m_context.loop()} {}

void forwarder::start() {
    m_inbox.receive(m_context.wrap([this](const forwarder_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
    check_for_pause();
}

void forwarder::close() noexcept {
    m_inbox.close();
    m_retries.clear();
    m_evidence_timer.cancel();
    m_settling_timer.cancel();
    m_pause_guard_timer.cancel();
    m_exchanges.clear();
    m_pools.clear();
}

void forwarder::handle(const discovery_update& message) {
    m_configuration = message.configuration;
    m_upstreams = message.upstreams;
    m_metrics.set_drained_domains(message.drained_domains);
    m_metrics.set_store_restores(message.store_restores);
    if (std::exchange(m_store_restores, message.store_restores) != message.store_restores) {
        record_streams_again();
    }
    if (m_configuration) {
        m_response_times.retain_routes(*m_configuration);
        m_metrics.set_configuration_faults(m_configuration->faults.size());
    }
    m_estimator.set_upstreams(m_upstreams);
    m_drained_services =
        m_upstreams ? instances::find_drained_services(*m_upstreams) : std::set<std::string>{};
    const auto now = common::monotonic_clock::now();
    if (m_upstreams) {
        for (auto& [name, pool] : m_pools) {
            pool->update(name, *m_upstreams, now);
        }
    }
    for (auto& [name, pool] : m_pools) {
        update_limits(name, *pool);
        schedule_waiting(name);
    }
    if (m_configuration && m_upstreams) {
        record_first_list(now);
        begin_held_requests();
    }
}

void forwarder::handle(const configuration_confirmed& message) {
    m_configuration_confirmed = message.at;
}

std::optional<common::duration> forwarder::configuration_age() const {
    if (!m_configuration_confirmed) {
        return std::nullopt;
    }
    return common::monotonic_clock::now() - *m_configuration_confirmed;
}

bool forwarder::has_current_configuration() const {
    const auto age = configuration_age();
    return age && *age <= m_options.staleness_limit;
}

void forwarder::handle(const backlog_report& message) {
    const auto now = common::monotonic_clock::now();
    for (const auto& it : message.services) {
        m_estimator.record_backlog(it, now);
    }
}

instances::service_pool& forwarder::pool_of(const std::string& service) {
    auto& pool = m_pools[service];
    if (!pool) {
        pool = std::make_unique<instances::service_pool>(m_context, m_options.route,
                                                         m_options.place, m_options.overflow);
        if (m_upstreams) {
            pool->update(service, *m_upstreams, common::monotonic_clock::now());
        }
        update_limits(service, *pool);
    }
    return *pool;
}

exchange* forwarder::find(std::uint64_t id) {
    const auto it = m_exchanges.find(id);
    return it == m_exchanges.end() ? nullptr : it->second.get();
}

void forwarder::handle(const request_received& message) {
    auto& slot = m_exchanges[message.id];
    slot = std::make_unique<exchange>();
    auto& added = *slot;
    added.id = message.id;
    added.reply = message.reply;
    added.times.arrived = common::monotonic_clock::now();
    try {
        added.request = m_adapter->decode_request(message.message);
    } catch (const common::format_error& e) {
        refuse(added, status_bad_request, e.what());
        return;
    }
    added.shared_parts = shared_parts_of(added.request.prompt);
    const bool names_origin = added.request.last_event && !added.request.resumed_attempt_id.empty();
    added.origin.attempt_id =
        names_origin ? added.request.resumed_attempt_id : added.request.attempt_id;
    if (!m_configuration || !m_upstreams) {
        hold(added);
        return;
    }
    begin(added);
}

void forwarder::begin(exchange& ex) {
    ex.configuration = m_configuration;
    if (const auto result = look_up(ex); result != lookup_result::found) {
        refuse_unknown(ex, result);
        return;
    }
    if (may_lack_instances(ex)) {
        hold(ex);
        return;
    }
    if (ex.is_resumable_stream() && !prepare_stream(ex)) {
        return;
    }
    ex.deadline_timer.reset();
    admit(ex);
}

void forwarder::start_deadline_timer(exchange& ex) {
    const auto left = ex.first_event_deadline - common::monotonic_clock::now();
    ex.deadline_timer->start(std::max(common::duration::zero(), left),
                             m_context.wrap([this, id = ex.id] { deadline_reached(id); }));
}

void forwarder::deadline_reached(std::uint64_t id) {
    auto* ex = find(id);
    if (ex == nullptr) {
        return;
    }
    if (ex->origin.keeps_events) {
        recording_ended(*ex);
        ex = find(id);
        if (ex == nullptr) {
            return;
        }
    }
    const auto now = common::monotonic_clock::now();
    if (ex->relaying && now < ex->response_deadline) {
        ex->deadline_timer->start(ex->response_deadline - now,
                                  m_context.wrap([this, id] { deadline_reached(id); }));
        return;
    }
    const bool may_have_run = ex->possible_runs > 0;
    const bool stalled = ex->attempt && ex->attempt->is_stalled();
    if (stalled) {
        pool_of(ex->service).record_failure(*ex->attempt->member(), now);
    }
    if (ex->relaying) {
        const auto* reason = stalled               ? "the stream stopped within an event"
                             : ex->limited_by_stop ? "the stop limit was reached during the stream"
                                                   : "the deadline passed during the stream";
        ex->reply.abort();
        finish(*ex, ex->limited_by_stop ? request_end::cut : request_end::timed_out, 0, reason);
        return;
    }
    if (may_have_run) {
        respond(*ex, m_adapter->make_refusal(status_gateway_timeout, "time is over", {}),
                request_end::timed_out,
                stalled ? "the response did not end in time" : "no response in time");
        return;
    }
    refuse(*ex, status_unavailable,
           ex->waiting ? "no free connection to an upstream in time" : "not started in time",
           default_retry_after);
}

void forwarder::handle(const caller_disconnected& message) {
    auto* ex = find(message.id);
    if (ex == nullptr) {
        return;
    }
    finish(*ex, request_end::caller_left, 0, "the caller closed its connection");
}

void forwarder::refuse(exchange& ex, unsigned status, const std::string& reason,
                       std::optional<common::duration> retry_after) {
    // A refusal with this status states that the request has not run, so it must not follow an
    // attempt that may have run.
    const bool claims_not_run = status == status_unavailable;
    if (claims_not_run && ex.possible_runs > 0) {
        respond(ex, m_adapter->make_refusal(status_bad_gateway, reason, {}), request_end::failed,
                reason);
        return;
    }
    if (claims_not_run && !retry_after) {
        retry_after = default_retry_after;
    }
    respond(ex, m_adapter->make_refusal(status, reason, retry_after), request_end::refused, reason);
}

void forwarder::respond(exchange& ex, const http::response& response, request_end end,
                        const std::string& reason) {
    if (ex.relaying) {
        // The response has started; a second one would be read as a part of it.
        ex.reply.abort();
        finish(ex, request_end::cut, 0, reason);
        return;
    }
    ex.reply.respond(response);
    finish(ex, end, response.status, reason);
}

void forwarder::finish(exchange& ex, request_end end, unsigned status, const std::string& reason) {
    cancel_orders(ex);
    release_inputs(ex);
    end_reading_search(ex);
    end_reading(ex);
    if (ex.waiting) {
        pool_of(ex.service).waiting().remove(ex.id);
    }
    if (ex.attempt) {
        // Its connection is free now.
        schedule_waiting(ex.service);
    }
    const auto took = common::monotonic_clock::now() - ex.times.arrived;
    const auto kind =
        ex.matched_route != nullptr ? ex.matched_route->kind : repeatability::non_idempotent;
    m_metrics.record_end(kind, end, took);
    log_end(ex, end, status, reason, took);
    m_exchanges.erase(ex.id);
}

void forwarder::log_end(const exchange& ex, request_end end, unsigned status,
                        const std::string& reason, common::duration took) const {
    const auto in_ms = [](std::optional<common::duration> time) {
        using std::chrono::milliseconds;
        return time ? std::to_string(std::chrono::duration_cast<milliseconds>(*time).count())
                    : std::string{};
    };
    const auto since_arrival = [&](std::optional<common::time_point> time) {
        return time ? in_ms(*time - ex.times.arrived) : std::string{};
    };
    const auto backlog_age =
        ex.matched_route != nullptr
            ? m_estimator.report_age(*ex.matched_route, common::monotonic_clock::now())
            : std::nullopt;
    const logging::fields values{
        {"attempt", ex.request.attempt_id},
        {"resumed_attempt", ex.request.resumed_attempt_id},
        {"route", ex.matched_route != nullptr ? ex.matched_route->name : ""},
        {"workspace", ex.workspace},
        {"service", ex.service},
        {"upstream", ex.upstream_id()},
        {"configuration", std::to_string(ex.configuration ? ex.configuration->version : 0)},
        {"configuration_age_ms", in_ms(configuration_age())},
        {"end", std::string{common::to_name(end)}},
        {"status", std::to_string(status)},
        {"expected_ms", in_ms(ex.stages.expected)},
        {"allowed_ms", in_ms(ex.stages.allowed)},
        {"backlog_age_ms", in_ms(backlog_age)},
        {"sends", std::to_string(ex.sends)},
        {"runs", std::to_string(ex.possible_runs)},
        {"sent_ms", since_arrival(ex.times.first_sent)},
        {"first_byte_ms", since_arrival(ex.times.first_byte)},
        {"first_event_ms", since_arrival(ex.times.first_event)},
        {"longest_pause_ms", in_ms(ex.times.longest_event_gap)},
        {"ms", in_ms(took)},
        {"reason", reason}};
    // When log lines are dropped under overload, those of served requests go first.
    if (end == request_end::answered || end == request_end::caller_left) {
        m_log.info("Request ended.", values);
    } else {
        m_log.warn("Request ended.", values);
    }
}

void forwarder::handle(const admin::metrics_query& message) {
    m_metrics.set_in_progress(m_exchanges.size());
    m_metrics.set_cold_instances(count_cold());
    m_metrics.set_reading_engines(m_readings.busy(common::monotonic_clock::now()));
    m_metrics.set_quarantined_parts(m_suspects.quarantined(common::monotonic_clock::now()).size());
    if (const auto age = configuration_age()) {
        m_metrics.set_configuration_age(*age);
    }
    admin::respond_with_metrics(message, m_metrics.text());
}

boost::json::value forwarder::dump() const {
    boost::json::array requests;
    const auto now = common::monotonic_clock::now();
    for (const auto& [id, it] : m_exchanges) {
        requests.emplace_back(
            boost::json::object{{"attempt", it->request.attempt_id},
                                {"service", it->service},
                                {"age_ms", common::to_milliseconds(now - it->times.arrived)},
                                {"upstream", it->upstream_id()},
                                {"orders", it->stages.orders.size()}});
    }
    boost::json::object pools;
    for (const auto& [name, it] : m_pools) {
        pools[name] = boost::json::object{{"instances", it->size()},
                                          {"retry_balance", it->budget().balance()},
                                          {"cold", dump_cold(*it)}};
    }
    return boost::json::object{{"configuration", m_configuration ? m_configuration->version : 0},
                               {"gateways", m_gateway_count},
                               {"warm_up_share", common::to_name(m_warm_up_share.level(now))},
                               {"pools", std::move(pools)},
                               {"reading_engines", m_readings.busy(now)},
                               {"quarantined", dump_quarantined()},
                               {"requests", std::move(requests)}};
}

} // namespace jujubemast::gateway::requests
