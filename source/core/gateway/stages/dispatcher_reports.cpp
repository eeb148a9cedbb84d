#include <algorithm>
#include <utility>

#include "common/error.h"
#include "gateway/stages/dispatcher.h"
#include "gateway/stages/expected_delay.h"
#include "http/call_failure.h"

// Reports of instances about their load. They are requested when this gateway cannot know the load
// from its own calls: it does not know the calls and results of a previous owner, nor what became
// of calls whose responses were lost.

namespace jujubemast::gateway::stages {

namespace {

constexpr common::duration report_head_timeout = std::chrono::milliseconds{200};
// Time for the whole report, which is a few dozen bytes. An instance is not used while its report
// is pending.
constexpr common::duration report_total_timeout = std::chrono::milliseconds{400};
constexpr std::size_t max_report_bytes = std::size_t{64} * 1024;
// Interval at which an instance is polled while it has calls or results of other gateways, and
// pieces wait.
constexpr common::duration report_poll_interval = std::chrono::milliseconds{400};
// Sizes are approximate, so a smaller difference is ignored.
constexpr double min_foreign_share = 0.05;

} // namespace

void dispatcher::request_reports(const std::string& name, service_state& service) {
    for (auto& [id, it] : service.instances) {
        it->awaiting_report = it->state.accepts_calls();
        request_report(name, it);
    }
}

void dispatcher::request_report(const std::string& name,
                                const std::shared_ptr<stage_instance>& instance) {
    const auto* limits = limits_of(name);
    if (limits == nullptr) {
        return;
    }
    instance->poll_reports_until = common::monotonic_clock::now() + limits->result_lifetime +
                                   call_time(*limits, limits->batch);
    // The report of an instance in a drained failure domain is requested when the drain ends.
    if (!instance->report_pending && instance->state.accepts_calls() &&
        !instance->state.is_domain_drained()) {
        send_report_query(name, instance);
    }
}

void dispatcher::send_report_query(const std::string& name,
                                   const std::shared_ptr<stage_instance>& instance) {
    instance->report_pending = true;
    instance->client->send(m_adapter->encode_report_query(instance->identity.id),
                           [this, name, instance](const http::call_result& result) {
                               report_received(name, *instance, result);
                               dispatch(name);
                           },
                           {.idempotent = true,
                            .head_timeout = report_head_timeout,
                            .total_timeout = report_total_timeout,
                            .max_body_bytes = max_report_bytes});
}

void dispatcher::report_received(const std::string& name, stage_instance& instance,
                                 const http::call_result& result) {
    instance.report_pending = false;
    instance.awaiting_report = false;
    instance.foreign_calls = 0;
    const auto* limits = limits_of(name);
    const auto* response = std::get_if<http::response>(&result);
    if (response != nullptr) {
        notice_received(name, instance,
                        m_adapter->decode_response_head(response->status, response->fields));
    }
    if (limits == nullptr || response == nullptr || response->status != 200) {
        // Used without a report; calls will show whether the instance works.
        m_log.info("Could not get the report of an instance.",
                   {{"service", name},
                    {"upstream", instance.identity.id},
                    {"reason", http::describe_failure(result)}});
        return;
    }
    instance_report report;
    try {
        report = m_adapter->decode_instance_report(response->body);
    } catch (const common::format_error& e) {
        m_log.warn("Could not decode the report of an instance.",
                   {{"service", name}, {"upstream", instance.identity.id}, {"reason", e.what()}});
        return;
    }
    const auto now = common::monotonic_clock::now();
    const double foreign = std::max(0.0, limits->result_memory_bytes - report.max_free_bytes -
                                             instance.memory.used_by_own_calls(now));
    const bool significant = foreign > min_foreign_share * limits->result_memory_bytes;
    instance.memory.set_foreign(significant ? foreign : 0, now + limits->result_lifetime);
    instance.foreign_calls = report.calls - std::min(report.calls, instance.calls);
    m_log.info("Received the report of an instance.",
               {{"service", name},
                {"upstream", instance.identity.id},
                {"foreign_calls", std::to_string(instance.foreign_calls)},
                {"foreign_bytes", std::to_string(static_cast<std::int64_t>(foreign))}});
    // A timer follows each report with calls of others, so that none of them counts for ever.
    if (instance.foreign_calls > 0 || (significant && now < instance.poll_reports_until)) {
        schedule_report(name, instance);
    }
}

void dispatcher::schedule_report(const std::string& name, stage_instance& instance) {
    if (!instance.report_timer) {
        instance.report_timer = std::make_unique<runtime::timer>(m_context.loop());
    }
    instance.report_timer->start(
        report_poll_interval,
        m_context.wrap([this, name, id = instance.identity.id] { poll_report(name, id); }));
}

void dispatcher::poll_report(const std::string& name, const std::string& id) {
    auto& service = m_services[name];
    const auto it = service.instances.find(id);
    if (it == service.instances.end()) {
        return;
    }
    auto& instance = *it->second;
    const bool is_polled = service.queue.size() > 0 && instance.state.accepts_calls() &&
                           !instance.state.is_domain_drained() &&
                           common::monotonic_clock::now() < instance.poll_reports_until;
    if (is_polled) {
        if (!instance.report_pending) {
            send_report_query(name, it->second);
        }
        return;
    }
    // Without further reports, the instance itself queues or refuses what is too much.
    instance.foreign_calls = 0;
    dispatch(name);
}

} // namespace jujubemast::gateway::stages
