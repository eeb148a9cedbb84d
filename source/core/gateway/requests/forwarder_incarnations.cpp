#include <utility>

#include "common/error.h"
#include "gateway/requests/forwarder.h"

// An instance may start again under its id and address with another software version, and the store
// may not show this yet, or not at all while it is away. While a service has several versions, the
// instance itself is therefore asked for its start time before it gets a stream.

namespace jujubemast::gateway::requests {

namespace {

constexpr common::duration report_timeout = std::chrono::milliseconds{250};
constexpr std::size_t max_report_bytes = std::size_t{64} * 1024;
constexpr unsigned status_ok = 200;

} // namespace

bool forwarder::must_check_incarnation(const exchange& ex,
                                       const upstream_instance& instance) const {
    const auto* listed = listed_versions_of(ex.service);
    const bool has_several_versions = listed != nullptr && listed->versions.size() > 1;
    return ex.is_resumable_stream() && has_several_versions && instance.started_ms != 0 &&
           m_adapter->decode_reported_start;
}

void forwarder::check_incarnation(exchange& ex, const instances::instance_choice& choice) {
    ex.unchecked_choice = choice;
    ex.check_number = ++m_last_check;
    http::call_options options;
    options.head_timeout = report_timeout;
    options.total_timeout = report_timeout;
    options.max_body_bytes = max_report_bytes;
    choice.member->client->send(
        m_adapter->encode_report_query(choice.member->identity.id),
        [this, id = ex.id, number = ex.check_number](const http::call_result& result) {
            incarnation_checked(id, number, result);
        },
        options);
}

std::optional<std::int64_t> forwarder::reported_start(const http::call_result& result) const {
    const auto* response = std::get_if<http::response>(&result);
    if (response == nullptr || response->status != status_ok) {
        return std::nullopt;
    }
    try {
        return m_adapter->decode_reported_start(response->body);
    } catch (const common::format_error& e) {
        m_log.warn("Could not decode the report of an instance.", {{"reason", e.what()}});
        return std::nullopt;
    }
}

void forwarder::incarnation_checked(std::uint64_t id, std::uint64_t check_number,
                                    const http::call_result& result) {
    auto* ex = find(id);
    if (ex == nullptr || ex->check_number != check_number) {
        return;
    }
    const auto choice = std::exchange(ex->unchecked_choice, {});
    const auto& instance = choice.member->identity;
    const auto started_ms = reported_start(result);
    // An instance that could not be asked gets the request, whose end shows what is wrong with it.
    if (!started_ms || *started_ms == instance.started_ms) {
        start_attempt(*ex, choice);
        return;
    }
    m_log.warn("Another incarnation of the instance has answered.",
               {{"attempt", ex->request.attempt_id},
                {"upstream", instance.id},
                {"version", instance.version},
                {"started_ms", std::to_string(instance.started_ms)},
                {"reported_ms", std::to_string(*started_ms)}});
    ex->tried.push_back(instance.id);
    attempt_ended(*ex, attempt_end::not_sent, "another incarnation of the instance has answered");
}

} // namespace jujubemast::gateway::requests
