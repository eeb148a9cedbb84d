#include "standins/platform_service.h"

#include <utility>

#include <boost/json.hpp>

namespace jujubemast::standins {

namespace {

boost::json::value to_json(const table_service::row& row) {
    return boost::json::object{{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

table_service::row_key key_of(const boost::json::object& object) {
    return {string_member(object, "table"), string_member(object, "key")};
}

table_service::transaction to_transaction(const boost::json::object& body) {
    table_service::transaction transaction;
    for (const auto& it : body.at("conditions").as_array()) {
        const auto& object = it.as_object();
        transaction.conditions.push_back(
            {key_of(object), static_cast<std::uint64_t>(integer_member(object, "version", 0))});
    }
    for (const auto& it : body.at("writes").as_array()) {
        const auto& object = it.as_object();
        const auto* value = object.if_contains("value");
        transaction.writes.push_back(
            {key_of(object),
             value != nullptr ? std::optional<boost::json::value>{*value} : std::nullopt});
    }
    return transaction;
}

} // namespace

platform_service::platform_service(runtime::task_context context,
                                   std::shared_ptr<runtime::mailbox<service_message>> inbox)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)} {}

void platform_service::start() {
    m_inbox.receive(m_context.wrap([this](service_message message) {
        if (auto* call = std::get_if<http_call>(&message)) {
            handle_call(std::move(*call));
        }
    }));
}

void platform_service::close() noexcept {
    m_inbox.close();
    m_delayed.clear();
    m_timers.clear();
}

void platform_service::handle_call(http_call call) {
    const auto segments = http::path_segments(http::split_target(call.request.target).path);
    if (segments.size() == 2 && segments[0] == "control") {
        serve_control(call, segments[1]);
        return;
    }
    if (m_faults.silent) {
        return;
    }
    if (m_faults.outage) {
        call.reply.respond({503, {}, "outage\n"});
        return;
    }
    if (m_faults.delay == common::duration::zero()) {
        serve(call);
        return;
    }
    const auto id = call.id;
    auto& delayed = m_delayed[id];
    delayed = {std::move(call), std::make_unique<runtime::timer>(m_context.loop())};
    delayed.timer->start(m_faults.delay, m_context.wrap([this, id] {
        const auto node = m_delayed.extract(id);
        serve(node.mapped().call);
    }));
}

void platform_service::serve(const http_call& call) {
    const auto target = http::split_target(call.request.target);
    const auto segments = http::path_segments(target.path);
    const auto segment_is = [&](std::size_t n, std::string_view text) {
        return segments.size() > n && segments[n] == text;
    };
    if (segment_is(1, "transactions")) {
        serve_transaction(call);
    } else if (segment_is(1, "tables") && segment_is(3, "rows")) {
        serve_rows(call, segments, target.query);
    } else if (segment_is(1, "objects") && segments.size() == 3) {
        serve_object(call, std::string{segments[2]});
    } else if (segment_is(1, "membership")) {
        call.reply.respond(http::json_response(200, m_membership));
    } else if (segment_is(1, "weights")) {
        serve_weights(call);
    } else {
        call.reply.respond({404, {}, "unknown path\n"});
    }
}

void platform_service::serve_rows(const http_call& call,
                                  const std::vector<std::string_view>& segments,
                                  std::string_view query) {
    ++m_reads;
    const std::string table{segments[2]};
    if (segments.size() == 5) {
        const auto row = m_storage.read({table, std::string{segments[4]}});
        call.reply.respond(http::json_response(200, boost::json::serialize(to_json(row))));
        return;
    }
    boost::json::array rows;
    for (const auto& it : m_storage.scan(table, std::string{http::query_value(query, "prefix")})) {
        rows.push_back(to_json(it));
    }
    call.reply.respond(http::json_response(
        200, boost::json::serialize(boost::json::object{{"rows", std::move(rows)}})));
}

void platform_service::serve_transaction(const http_call& call) {
    ++m_writes;
    bool committed = false;
    try {
        committed = m_storage.commit(to_transaction(parse_object(call.request.body)));
    } catch (const std::exception&) {
        call.reply.respond({400, {}, "malformed transaction\n"});
        return;
    }
    if (m_faults.lost_responses > 0) {
        --m_faults.lost_responses;
        m_faults.outage = m_faults.outage_after_loss;
        call.reply.abort();
        return;
    }
    call.reply.respond(
        http::json_response(committed ? 200 : 409,
                            boost::json::serialize(boost::json::object{{"committed", committed}})));
}

void platform_service::serve_object(const http_call& call, const std::string& name) {
    if (call.request.method == "PUT") {
        ++m_writes;
        m_objects[name] = call.request.body;
        call.reply.respond({204, {}, {}});
        return;
    }
    ++m_reads;
    const auto it = m_objects.find(name);
    if (it == m_objects.end()) {
        call.reply.respond({404, {}, "no such object\n"});
        return;
    }
    call.reply.respond({200, {{"Content-Type", "application/octet-stream"}}, it->second});
}

void platform_service::serve_weights(const http_call& call) {
    const auto now = common::monotonic_clock::now();
    if (now - m_weights_window_start >= std::chrono::seconds{1}) {
        m_weights_window_start = now;
        m_weights_served = 0;
    }
    if (m_weights_served >= m_weights_per_second) {
        call.reply.respond({429, {{"Retry-After", "1"}}, "rate limited\n"});
        return;
    }
    ++m_weights_served;
    call.reply.respond(
        {200, {{"Content-Type", "application/octet-stream"}}, std::string(1024, 'w')});
}

void platform_service::serve_control(const http_call& call, std::string_view resource) {
    if (resource == "faults" && call.request.method == "PUT") {
        set_faults(call);
    } else if (resource == "membership" && call.request.method == "PUT") {
        set_membership(call);
    } else if (resource == "counters") {
        call.reply.respond(http::json_response(
            200,
            boost::json::serialize(boost::json::object{{"reads", m_reads}, {"writes", m_writes}})));
    } else {
        call.reply.respond({404, {}, "unknown control\n"});
    }
}

void platform_service::set_faults(const http_call& call) {
    const auto body = parse_object(call.request.body);
    const auto milliseconds = [&](std::string_view key) {
        return std::chrono::milliseconds{integer_member(body, key, 0)};
    };
    m_faults.outage = integer_member(body, "outage", 0) != 0;
    m_faults.silent = integer_member(body, "silent", 0) != 0;
    m_faults.delay = milliseconds("delay_ms");
    m_faults.lost_responses = integer_member(body, "lost_answers", 0);
    m_faults.outage_after_loss = integer_member(body, "outage_after_loss", 0) != 0;
    m_faults.membership_lag = milliseconds("membership_lag_ms");
    m_weights_per_second = integer_member(body, "weights_per_second", m_weights_per_second);
    call.reply.respond({204, {}, {}});
}

void platform_service::set_membership(const http_call& call) {
    m_timers.push_back(std::make_unique<runtime::timer>(m_context.loop()));
    m_timers.back()->start(
        m_faults.membership_lag,
        m_context.wrap([this, membership = call.request.body] { m_membership = membership; }));
    call.reply.respond({204, {}, {}});
}

boost::json::value platform_service::dump() const {
    return boost::json::object{{"reads", m_reads}, {"writes", m_writes}};
}

} // namespace jujubemast::standins
