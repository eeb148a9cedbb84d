#include "standins/engine_service.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/json.hpp>

#include "common/digest.h"
#include "http/event_stream.h"
#include "standins/stage_content.h"

namespace jujubemast::standins {

namespace {

constexpr common::duration load_report_interval = std::chrono::milliseconds{200};
constexpr std::size_t prefix_bytes = 64;
constexpr std::size_t max_cache_events = 256;

std::uint64_t parse_number(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

int urgency_of(std::string_view priority) {
    return priority.starts_with("u=") && priority.size() > 2 ? priority[2] - '0' : 3;
}

} // namespace

engine_service::engine_service(runtime::task_context context,
                               std::shared_ptr<runtime::mailbox<service_message>> inbox,
                               engine_behavior behavior)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_behavior{behavior},
      m_step_timer{m_context.loop()} {}

void engine_service::start() {
    m_inbox.receive(m_context.wrap([this](service_message message) {
        if (auto* call = std::get_if<http_call>(&message)) {
            handle_call(std::move(*call));
            return;
        }
        remove_call(std::get<client_disconnected>(message).id);
    }));
}

void engine_service::close() noexcept {
    m_inbox.close();
    m_step_timer.cancel();
}

void engine_service::handle_call(http_call call) {
    const auto target = http::split_target(call.request.target);
    const auto segments = http::path_segments(target.path);
    if (segments.size() == 2 && segments[0] == "control") {
        serve_control(call, segments[1]);
        return;
    }
    if (segments.size() < 2 || segments[0] != "v1") {
        call.reply.respond({404, {}, "unknown path\n"});
        return;
    }
    if (segments[1] == "generate" && call.request.method == "DELETE" && segments.size() == 3) {
        cancel(std::string{segments[2]});
        call.reply.respond({204, {}, {}});
    } else if (segments[1] == "generate" && call.request.method == "POST") {
        generate(std::move(call));
    } else if (segments[1] == "load") {
        serve_load(call);
    } else if (segments[1] == "events") {
        serve_events(call, target.query);
    } else if (segments[1] == "orders" && call.request.method == "POST") {
        serve_order(call);
    } else {
        call.reply.respond({404, {}, "unknown path\n"});
    }
}

void engine_service::generate(http_call call) {
    const auto body = parse_object(call.request.body);
    const auto model = std::string{http::find_header(call.request.fields, "X-Model")};
    if (!model.empty() && !m_models.contains(model)) {
        call.reply.respond({404, {}, "model is not loaded\n"});
        return;
    }
    const auto query = http::split_target(call.request.target).query;
    generation added;
    added.execution_id = http::find_header(call.request.fields, "X-Execution-Id");
    added.input = string_member(body, "input");
    added.context = string_member(body, "context");
    added.first_offset = parse_number(http::query_value(query, "resume_offset"));
    added.next_offset = added.first_offset;
    added.end_offset = static_cast<std::uint64_t>(integer_member(body, "max_tokens", 16));
    added.urgency = urgency_of(http::find_header(call.request.fields, "Priority"));
    added.call = std::move(call);
    const auto position =
        std::find_if(m_waiting.begin(), m_waiting.end(),
                     [&](const generation& it) { return it.urgency > added.urgency; });
    m_waiting.insert(position, std::move(added));
    fill_slots();
}

void engine_service::fill_slots() {
    while (!m_waiting.empty() && static_cast<std::int64_t>(m_running.size()) < m_behavior.slots) {
        m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
        auto& started = m_running.back();
        const std::string id{http::find_header(started.call.request.fields, "X-Request-Id")};
        ++m_executions[id];
        m_offsets[id] = started.first_offset;
        started.prefill_left = access_prefix_cache(started.input);
        started.call.reply.begin({200, {{"Content-Type", "text/event-stream"}}, {}});
    }
    if (!m_running.empty() && !m_stepping) {
        m_stepping = true;
        m_step_timer.start(m_behavior.step_time, m_context.wrap([this] { step(); }));
    }
}

std::int64_t engine_service::access_prefix_cache(const std::string& input) {
    const auto prefix = input.substr(0, prefix_bytes);
    const auto it = std::find(m_prefix_cache.begin(), m_prefix_cache.end(), prefix);
    const bool hit = it != m_prefix_cache.end();
    if (hit) {
        m_prefix_cache.erase(it);
    }
    m_prefix_cache.push_back(prefix);
    if (static_cast<std::int64_t>(m_prefix_cache.size()) > m_behavior.cache_entries) {
        m_prefix_cache.pop_front();
    }
    if (!hit) {
        m_cache_events.emplace_back(m_next_event++, std::to_string(common::digest_of(prefix)));
        if (m_cache_events.size() > max_cache_events) {
            m_cache_events.pop_front();
        }
    }
    const auto size = static_cast<std::int64_t>(input.size());
    return hit ? std::max<std::int64_t>(0, size - static_cast<std::int64_t>(prefix_bytes)) : size;
}

void engine_service::step() {
    m_stepping = false;
    for (auto it = m_running.begin(); it != m_running.end();) {
        if (!m_behavior.silent) {
            advance(*it);
        }
        it = it->ended ? m_running.erase(it) : std::next(it);
    }
    fill_slots();
}

void engine_service::advance(generation& it) {
    if (it.prefill_left > 0) {
        it.prefill_left -= m_behavior.prefill_bytes_per_step;
        return;
    }
    if (it.next_offset < it.end_offset) {
        ++m_tokens;
        const boost::json::object tokens{
            {"offset", it.next_offset},
            {"tokens", {engine_token(it.input, it.context, it.next_offset)}}};
        it.call.reply.write(http::encode_event("tokens", boost::json::serialize(tokens)));
        ++it.next_offset;
    }
    if (it.next_offset >= it.end_offset) {
        const boost::json::object done{{"count", it.next_offset - it.first_offset}};
        it.call.reply.write(http::encode_event("done", boost::json::serialize(done)));
        it.call.reply.end();
        it.ended = true;
    }
}

void engine_service::cancel(const std::string& execution_id) {
    const auto matches = [&](const generation& it) {
        if (it.execution_id != execution_id) {
            return false;
        }
        it.call.reply.abort();
        return true;
    };
    m_waiting.remove_if(matches);
    m_running.remove_if(matches);
    fill_slots();
}

void engine_service::remove_call(std::uint64_t id) {
    const auto matches = [id](const generation& it) { return it.call.id == id; };
    m_waiting.remove_if(matches);
    m_running.remove_if(matches);
    fill_slots();
}

void engine_service::serve_load(const http_call& call) {
    const auto now = common::monotonic_clock::now();
    if (now - m_published_at >= load_report_interval) {
        m_published_at = now;
        m_published_waiting = m_waiting.size();
        m_published_running = m_running.size();
    }
    boost::json::array models;
    for (const auto& it : m_models) {
        models.push_back(boost::json::string{it});
    }
    call.reply.respond(http::json_response(
        200, boost::json::serialize(boost::json::object{{"waiting", m_published_waiting},
                                                        {"running", m_published_running},
                                                        {"models", std::move(models)},
                                                        {"role", m_role},
                                                        {"fencing", m_fencing}})));
}

void engine_service::serve_events(const http_call& call, std::string_view query) {
    const auto after = parse_number(http::query_value(query, "after"));
    boost::json::array events;
    for (const auto& [sequence, prefix] : m_cache_events) {
        if (sequence > after) {
            events.push_back(boost::json::object{{"sequence", sequence}, {"stored", prefix}});
        }
    }
    call.reply.respond(http::json_response(
        200, boost::json::serialize(boost::json::object{{"events", std::move(events)}})));
}

void engine_service::serve_order(const http_call& call) {
    const auto body = parse_object(call.request.body);
    const auto fencing = integer_member(body, "fencing", 0);
    if (m_behavior.checks_fencing && fencing < m_fencing) {
        call.reply.respond({412, {}, "old fencing number\n"});
        return;
    }
    m_fencing = std::max(m_fencing, fencing);
    if (const auto* models = body.if_contains("models"); models != nullptr && models->is_array()) {
        m_models.clear();
        for (const auto& it : models->as_array()) {
            m_models.emplace(it.as_string());
        }
    }
    if (const auto role = string_member(body, "role"); !role.empty()) {
        m_role = role;
    }
    call.reply.respond(http::json_response(200, R"({"accepted":true})"));
}

void engine_service::serve_control(const http_call& call, std::string_view resource) {
    if (resource == "behavior" && call.request.method == "PUT") {
        const auto body = parse_object(call.request.body);
        m_behavior.slots = integer_member(body, "slots", m_behavior.slots);
        m_behavior.step_time = std::chrono::microseconds{integer_member(body, "step_us", 5000)};
        m_behavior.silent = integer_member(body, "silent", 0) != 0;
        m_behavior.checks_fencing = integer_member(body, "checks_fencing", 1) != 0;
        call.reply.respond({204, {}, {}});
        return;
    }
    if (resource == "executions" || resource == "offsets") {
        boost::json::object counts;
        for (const auto& [id, n] : resource == "offsets" ? m_offsets : m_executions) {
            counts[id] = n;
        }
        call.reply.respond(http::json_response(200, boost::json::serialize(counts)));
        return;
    }
    call.reply.respond({404, {}, "unknown control\n"});
}

boost::json::value engine_service::dump() const {
    return boost::json::object{
        {"waiting", m_waiting.size()}, {"running", m_running.size()}, {"tokens", m_tokens}};
}

} // namespace jujubemast::standins
