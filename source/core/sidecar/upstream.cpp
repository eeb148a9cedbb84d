#include "sidecar/upstream.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"

namespace jujubemast::sidecar {

namespace {

// Timeout of the request that withdraws an execution. Nothing waits for its response.
constexpr common::duration withdrawal_timeout = std::chrono::seconds{5};

/// Returns the identifier of an execution at the engine.
std::string execution_name(const protocol::work_identity& identity) {
    return identity.request_id + ":" + std::to_string(identity.stage) + ":" +
           std::to_string(identity.attempt);
}

// RFC 9218 urgency of each priority. Entries apply the inverse mapping to the requests of callers.
constexpr std::array<std::string_view, 3> urgency{"u=1", "u=3", "u=5"};

http::client_limits limits_of(const upstream_options& options) {
    return {.progress_timeout = options.progress_timeout, .max_idle_connections = 64};
}

} // namespace

upstream::upstream(runtime::task_context context,
                   std::shared_ptr<runtime::mailbox<upstream_command>> inbox,
                   runtime::address<admission_message> admission, upstream_options options)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_admission{std::move(admission)},
      m_options{std::move(options)}, m_client{m_context, m_options.address, limits_of(m_options)} {}

void upstream::start() {
    m_inbox.receive(m_context.wrap([this](const upstream_command& command) {
        std::visit([this](const auto& it) { handle(it); }, command);
    }));
}

void upstream::close() noexcept {
    m_inbox.close();
    m_client.close();
    m_calls.clear();
}

http::request upstream::make_request(const start_call& command) const {
    const auto& work = command.work;
    http::request request{"POST", "/v1/" + work.operation, {}, work.body};
    if (work.resume_offset > 0) {
        request.target += "?resume_offset=" + std::to_string(work.resume_offset);
    }
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(command.remaining).count();
    request.fields = {
        {"Content-Type", "application/json"},
        {"X-Request-Id", work.identity.request_id},
        {"X-Execution-Id", execution_name(work.identity)},
        {"X-Request-Timeout-Ms", std::to_string(remaining)},
        {"X-Workspace", work.workspace},
        {"Priority", std::string{urgency.at(static_cast<std::size_t>(work.priority))}}};
    if (!work.model.empty()) {
        request.fields.push_back({"X-Model", work.model});
    }
    if (!work.trace_parent.empty()) {
        request.fields.push_back({"traceparent", work.trace_parent});
    }
    return request;
}

void upstream::handle(const start_call& command) {
    const auto id = command.call;
    auto& added = m_calls[id];
    added.identity = command.work.identity;
    if (m_options.kind == tickets::pool_kind::engine) {
        added.events = std::make_unique<http::event_stream_parser>(
            [this, id](const http::stream_event& event) { event_received(id, event); });
    }
    http::call_hooks hooks;
    hooks.on_head = [this, id](unsigned status, const http::headers& /*fields*/) {
        m_calls.at(id).status = status;
    };
    hooks.on_data = [this, id](std::string_view bytes) { data_received(id, bytes); };
    hooks.on_done = [this, id] { call_ended(id); };
    hooks.on_error = [this, id](const http::call_error& error) { transport_failed(id, error); };
    added.http_call = m_client.start(
        make_request(command), std::move(hooks),
        {.idempotent = command.work.idempotent, .head_timeout = head_timeout_of(command)});
}

common::duration upstream::head_timeout_of(const start_call& command) const {
    if (!command.work.idempotent) {
        return command.remaining;
    }
    // Leaves half of the time for an attempt elsewhere if the connection has gone silent.
    return std::min<common::duration>(m_options.progress_timeout, command.remaining / 2);
}

void upstream::handle(const cancel_call& command) {
    const auto it = m_calls.find(command.call);
    if (it == m_calls.end()) {
        return;
    }
    m_client.cancel(it->second.http_call);
    if (it->second.events) {
        m_client.send({"DELETE", "/v1/generate/" + execution_name(it->second.identity), {}, {}},
                      [](const http::call_result& /*result*/) {},
                      {.total_timeout = withdrawal_timeout});
    }
    m_calls.erase(it);
}

void upstream::data_received(std::uint64_t id, std::string_view bytes) {
    auto& current = m_calls.at(id);
    if (current.events && current.status == 200) {
        try {
            current.events->feed(bytes);
        } catch (const common::format_error& e) {
            m_client.cancel(current.http_call);
            report_failure({id, common::execution::unknown, e.what()});
        }
        return;
    }
    current.body += bytes;
}

void upstream::event_received(std::uint64_t id, const http::stream_event& event) {
    auto& current = m_calls.at(id);
    boost::system::error_code ec;
    const auto value = boost::json::parse(event.data, ec);
    const auto* object = ec ? nullptr : value.if_object();
    if (object == nullptr) {
        return;
    }
    if (event.name == "tokens") {
        const auto* tokens = object->if_contains("tokens");
        current.tokens += tokens != nullptr && tokens->is_array() ? tokens->as_array().size() : 0;
        m_admission.send(call_chunk{id, event.data});
        return;
    }
    if (event.name == "done") {
        const auto* count = object->if_contains("count");
        current.complete = count != nullptr && count->is_number() &&
                           count->to_number<std::uint64_t>() == current.tokens;
    }
}

void upstream::call_ended(std::uint64_t id) {
    auto& current = m_calls.at(id);
    if (current.status != 200) {
        call_failed failure{id, common::execution::unknown,
                            "upstream answered " + std::to_string(current.status)};
        if (current.status == 429) {
            // This status is sent before any work begins. After any other status, the outcome is
            // unknown.
            failure.execution = common::execution::not_run;
            failure.reason = protocol::refusal_reason::overloaded;
        }
        report_failure(std::move(failure));
        return;
    }
    if (current.events && !current.complete) {
        report_failure({id, common::execution::unknown, "upstream ended its stream early"});
        return;
    }
    if (!current.events) {
        m_admission.send(call_chunk{id, std::move(current.body)});
    }
    m_admission.send(call_done{id});
    m_calls.erase(id);
}

void upstream::transport_failed(std::uint64_t id, const http::call_error& error) {
    const auto execution = error.sent ? common::execution::unknown : common::execution::not_run;
    report_failure({id, execution, std::string{common::to_name(error.kind)} + ": " + error.detail});
}

void upstream::report_failure(call_failed failure) {
    const auto id = failure.call;
    m_log.warn("Call failed.", {{"execution", execution_name(m_calls.at(id).identity)},
                                {"detail", failure.detail}});
    m_admission.send(std::move(failure));
    m_calls.erase(id);
}

boost::json::value upstream::dump() const {
    return boost::json::object{{"address", http::to_string(m_options.address)},
                               {"kind", common::to_name(m_options.kind)},
                               {"calls", m_calls.size()}};
}

} // namespace jujubemast::sidecar
