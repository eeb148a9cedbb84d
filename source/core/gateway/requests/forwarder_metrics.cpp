#include "gateway/requests/forwarder_metrics.h"

namespace jujubemast::gateway::requests {

void forwarder_metrics::record_end(repeatability kind, request_end end, common::duration time) {
    const std::string kind_name{common::to_name(kind)};
    m_registry
        .add_counter("jujubemast_gateway_requests_total", "Requests of callers by their end.",
                     {{"kind", kind_name}, {"end", std::string{common::to_name(end)}}})
        .add();
    m_registry
        .add_summary("jujubemast_gateway_request_milliseconds",
                     "Time from the arrival of a request to its end.", {{"kind", kind_name}})
        .observe(common::to_milliseconds(time));
}

void forwarder_metrics::record_first_byte(repeatability kind, common::duration time) {
    m_registry
        .add_summary("jujubemast_gateway_first_byte_milliseconds",
                     "Time from the arrival of a request to the head of its answer.",
                     {{"kind", std::string{common::to_name(kind)}}})
        .observe(common::to_milliseconds(time));
}

void forwarder_metrics::record_step(attempt_end end, next_step step) {
    m_registry
        .add_counter("jujubemast_gateway_attempts_not_answered_total",
                     "Attempts that ended without a good answer, and what followed.",
                     {{"end", std::string{common::to_name(end)}},
                      {"step", std::string{common::to_name(step)}}})
        .add();
}

void forwarder_metrics::record_wait(instances::choice_outcome cause) {
    m_registry
        .add_counter("jujubemast_gateway_waits_total",
                     "Requests that waited because no instance could take them.",
                     {{"cause", std::string{common::to_name(cause)}}})
        .add();
}

void forwarder_metrics::record_placement(policy::placement_reason reason, bool crosses,
                                         double remote_bytes) {
    m_registry
        .add_counter("jujubemast_gateway_sends_total",
                     "Sends within and across failure domains, and why.",
                     {{"domain", crosses ? "other" : "same"},
                      {"reason", std::string{common::to_name(reason)}}})
        .add();
    m_registry
        .add_counter("jujubemast_gateway_remote_result_bytes_total",
                     "Estimated bytes of stage results that were read from other failure domains.")
        .add(static_cast<std::uint64_t>(remote_bytes));
}

void forwarder_metrics::record_resumed_stream(resumed_outcome outcome) {
    m_registry
        .add_counter("jujubemast_gateway_resumed_streams_total",
                     "Lookups of the software version of resumed streams, and refusals for it.",
                     {{"outcome", std::string{common::to_name(outcome)}}})
        .add();
}

void forwarder_metrics::record_recorded_stream(record_outcome outcome) {
    m_registry
        .add_counter("jujubemast_gateway_recorded_streams_total",
                     "Streams whose software version was to be written to the store.",
                     {{"outcome", std::string{common::to_name(outcome)}}})
        .add();
}

void forwarder_metrics::record_quarantine_refusal() {
    m_registry
        .add_counter("jujubemast_gateway_quarantine_refusals_total",
                     "Requests that were not sent because of a quarantined part of the prompt.")
        .add();
}

void forwarder_metrics::set_quarantined_parts(std::size_t n) {
    m_registry
        .add_gauge("jujubemast_gateway_quarantined_prompt_parts",
                   "Parts of prompts that are quarantined because instances crashed on them.")
        .set(static_cast<double>(n));
}

void forwarder_metrics::set_drained_domains(std::size_t n) {
    m_registry
        .add_gauge("jujubemast_gateway_drained_failure_domains",
                   "Failure domains that the operator has drained.")
        .set(static_cast<double>(n));
}

void forwarder_metrics::set_store_restores(std::size_t n) {
    m_registry
        .add_gauge("jujubemast_gateway_store_restores",
                   "Restores of the store from an older copy since this gateway has started.")
        .set(static_cast<double>(n));
}

void forwarder_metrics::set_in_progress(std::size_t n) {
    m_registry
        .add_gauge("jujubemast_gateway_requests_in_progress", "Requests without a whole answer.")
        .set(static_cast<double>(n));
}

void forwarder_metrics::set_cold_instances(std::size_t n) {
    m_registry
        .add_gauge("jujubemast_gateway_cold_instances",
                   "Cold instances of services whose cold instances have a limit.")
        .set(static_cast<double>(n));
}

void forwarder_metrics::record_reading_search(bool granted) {
    m_registry
        .add_counter("jujubemast_gateway_reading_searches_total",
                     "Long prompts for which an engine was looked for that reads no other one.",
                     {{"granted", granted ? "yes" : "no"}})
        .add();
}

void forwarder_metrics::set_reading_engines(std::size_t n) {
    m_registry
        .add_gauge("jujubemast_gateway_reading_engines",
                   "Engines of which this gateway is the owner and that read a long prompt.")
        .set(static_cast<double>(n));
}

void forwarder_metrics::set_configuration_age(common::duration age) {
    m_registry
        .add_gauge("jujubemast_gateway_configuration_age_milliseconds",
                   "Time since the store has last shown that the configuration is the newest.")
        .set(common::to_milliseconds(age));
}

void forwarder_metrics::set_configuration_faults(std::size_t n) {
    m_registry
        .add_gauge("jujubemast_gateway_configuration_faults",
                   "Parts of the configuration in force that could not be decoded.")
        .set(static_cast<double>(n));
}

} // namespace jujubemast::gateway::requests
