#include "load/sender.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "load/response_document.h"

namespace jujubemast::load {

namespace {

// Delays the first request until the clients and the readiness checks are set up.
constexpr common::duration start_delay = std::chrono::milliseconds{300};

// How long after the deadline of a request its response is still waited for.
constexpr common::duration response_grace = std::chrono::seconds{2};

constexpr common::duration overdue_interval = std::chrono::milliseconds{100};

http::client_limits limits_of(const experiment& source) {
    return {.connect_timeout = std::chrono::milliseconds{500},
            .head_timeout = std::chrono::seconds{60},
            .progress_timeout = std::chrono::seconds{60},
            .max_idle_connections = source.max_in_progress};
}

} // namespace

sender::sender(runtime::task_context context,
               std::shared_ptr<runtime::mailbox<sender_message>> inbox,
               runtime::address<reporter_message> reporter,
               std::shared_ptr<const experiment> source, const std::vector<http::endpoint>& entries,
               sender_hooks hooks)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_reporter{std::move(reporter)},
      m_experiment{std::move(source)}, m_hooks{std::move(hooks)},
      m_run_id{common::random_identifier(common::system_random())},
      m_schedule{*m_experiment}, m_timer{m_context.loop()}, m_overdue_timer{m_context.loop()} {
    for (const auto& it : entries) {
        m_entries.push_back(
            {std::make_unique<http::client>(m_context, it, limits_of(*m_experiment)), true});
    }
}

void sender::start() {
    m_inbox.receive(m_context.wrap([this](const sender_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
    m_begin = m_hooks.clock() + start_delay;
    m_next = m_schedule.next();
    send_due();
    expire_overdue();
}

void sender::stop(const runtime::stop_done& done) {
    while (!m_exchanges.empty()) {
        m_exchanges.begin()->second.outcome.reason = "client_stopped";
        finish(m_exchanges.begin()->first);
    }
    end_run();
    done();
}

void sender::close() noexcept {
    m_inbox.close();
    m_timer.cancel();
    m_overdue_timer.cancel();
    m_entries.clear();
    m_exchanges.clear();
}

void sender::handle(const entry_readiness& message) {
    m_entries.at(message.entry).ready = message.ready;
}

void sender::send_due() {
    const auto now = m_hooks.clock();
    while (m_next && m_begin + m_next->send_time <= now) {
        start_request(*std::exchange(m_next, m_schedule.next()));
    }
    const auto next_wakeup = m_next ? m_begin + m_next->send_time : m_begin + m_schedule.length();
    if (m_next || next_wakeup > now) {
        m_timer.start(next_wakeup - now, m_context.wrap([this] { send_due(); }));
    } else if (m_exchanges.empty()) {
        end_run();
    }
}

void sender::start_request(planned_request plan) {
    ++m_sent;
    const auto number = plan.number;
    exchange added;
    added.scheduled_time = m_begin + plan.send_time;
    added.outcome.phase = plan.phase;
    added.outcome.traffic = plan.traffic->name;
    added.outcome.workspace = plan.workspace->name;
    added.outcome.priority = plan.priority;
    added.outcome.deadline = plan.pipeline->deadline;
    added.outcome.send_lag = m_hooks.clock() - added.scheduled_time;
    added.plan = std::move(plan);
    if (m_exchanges.size() >= m_experiment->max_in_progress) {
        added.outcome.result = request_result::not_sent;
        added.outcome.reason = "client_limit";
        report(std::move(added.outcome));
        return;
    }
    send(m_exchanges.emplace(number, std::move(added)).first->second);
}

std::size_t sender::next_entry() {
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        m_last_entry = (m_last_entry + 1) % m_entries.size();
        if (m_entries[m_last_entry].ready) {
            return m_last_entry;
        }
    }
    return m_last_entry = (m_last_entry + 1) % m_entries.size();
}

void sender::send(exchange& it) {
    const auto number = it.plan.number;
    it.entry = next_entry();
    ++it.connect_attempts;
    http::call_hooks hooks;
    hooks.on_head = [this, number](unsigned status, const http::headers& fields) {
        head_received(number, status, fields);
    };
    hooks.on_data = [this, number](std::string_view bytes) { data_received(number, bytes); };
    hooks.on_done = [this, number] { body_complete(number); };
    hooks.on_error = [this, number](const http::call_error& error) { call_failed(number, error); };
    it.call = m_entries[it.entry].client->start(encode_request(it.plan, m_run_id), std::move(hooks),
                                                {.idempotent = it.plan.pipeline->idempotent});
}

void sender::head_received(std::uint64_t number, unsigned status, const http::headers& fields) {
    auto& it = m_exchanges.at(number);
    it.status = status;
    if (http::find_header(fields, "Content-Type").starts_with("text/event-stream")) {
        it.events = std::make_unique<http::event_stream_parser>(
            [this, number](const http::stream_event& event) { event_received(number, event); });
    }
}

void sender::data_received(std::uint64_t number, std::string_view bytes) {
    auto& it = m_exchanges.at(number);
    if (it.events) {
        it.events->feed(bytes);
        return;
    }
    it.body += bytes;
}

void sender::event_received(std::uint64_t number, const http::stream_event& event) {
    auto& it = m_exchanges.at(number);
    if (event.name == "token") {
        token_received(it);
    } else if (event.name == "done") {
        response_received(it, event.data);
    } else if (event.name == "error") {
        const auto problem = decode_problem(event.data, it.status);
        it.outcome.result = problem.result;
        it.outcome.reason = problem.name;
        it.complete = true;
    }
}

void sender::token_received(exchange& it) const {
    const auto now = m_hooks.clock();
    if (it.outcome.first_token == common::duration::zero()) {
        it.outcome.first_token = now - it.scheduled_time;
    } else {
        it.outcome.token_gaps.push_back(now - it.last_token);
    }
    it.last_token = now;
}

void sender::response_received(exchange& it, std::string_view text) {
    it.complete = true;
    it.outcome.latency = m_hooks.clock() - it.scheduled_time;
    std::string error;
    try {
        auto response = decode_response(text);
        error = m_hooks.verify(it.plan, response);
        it.outcome.stages = std::move(response.stages);
    } catch (const common::format_error& e) {
        error = e.what();
    }
    if (error.empty()) {
        it.outcome.result = request_result::answered;
        return;
    }
    it.outcome.result = request_result::wrong;
    it.outcome.reason = "wrong_content";
    m_reporter.send(verification_error{it.plan.pipeline->name + " request " +
                                       std::to_string(it.plan.number) + ": " + error});
}

void sender::body_complete(std::uint64_t number) {
    auto& it = m_exchanges.at(number);
    if (it.events) {
        if (!it.complete) {
            it.outcome.reason = "incomplete_answer";
        }
    } else if (it.status == 200) {
        response_received(it, it.body);
    } else {
        const auto problem = decode_problem(it.body, it.status);
        it.outcome.result = problem.result;
        it.outcome.reason = problem.name;
    }
    finish(number);
}

void sender::call_failed(std::uint64_t number, const http::call_error& error) {
    auto& it = m_exchanges.at(number);
    m_entries[it.entry].ready = m_entries[it.entry].ready && error.sent;
    // Like the platform's load balancer, tries the next entry if one does not accept the request.
    if (!error.sent && it.connect_attempts < m_entries.size()) {
        send(it);
        return;
    }
    // An "error" event has already set the outcome; the entry closes the connection after it.
    if (!it.complete) {
        it.outcome.result = error.sent ? request_result::unknown : request_result::not_run;
        it.outcome.reason = "connection_" + std::string{common::to_name(error.kind)};
    }
    finish(number);
}

void sender::finish(std::uint64_t number) {
    const auto node = m_exchanges.extract(number);
    auto& it = node.mapped();
    if (it.call != 0) {
        m_entries[it.entry].client->cancel(it.call);
    }
    report(std::move(it.outcome));
    if (!m_next && m_exchanges.empty() && m_hooks.clock() >= m_begin + m_schedule.length()) {
        end_run();
    }
}

void sender::report(request_outcome outcome) {
    if (!m_reporter.send(std::move(outcome))) {
        throw common::error{"the reporter did not accept the outcome of a request"};
    }
}

void sender::expire_overdue() {
    const auto now = m_hooks.clock();
    std::vector<std::uint64_t> overdue;
    for (const auto& [number, it] : m_exchanges) {
        if (now > it.scheduled_time + it.plan.pipeline->deadline + response_grace) {
            overdue.push_back(number);
        }
    }
    for (const auto number : overdue) {
        auto& outcome = m_exchanges.at(number).outcome;
        outcome.result = request_result::unknown;
        outcome.reason = "no_answer";
        finish(number);
    }
    m_overdue_timer.start(overdue_interval, m_context.wrap([this] { expire_overdue(); }));
}

void sender::end_run() {
    if (std::exchange(m_ended, true)) {
        return;
    }
    m_log.info("Run ended.", {{"requests", std::to_string(m_sent)}});
    m_timer.cancel();
    if (!m_reporter.send(run_ended{})) {
        throw common::error{"the reporter did not accept the end of the run"};
    }
}

boost::json::value sender::dump() const {
    return boost::json::object{
        {"sent", m_sent}, {"in_progress", m_exchanges.size()}, {"ended", m_ended}};
}

} // namespace jujubemast::load
