#include "table_service/store.h"

#include <boost/json.hpp>

#include "common/error.h"

namespace jujubemast::table_service {

namespace {

std::string string_member(const boost::json::object& object, std::string_view key) {
    const auto* it = object.if_contains(key);
    return it != nullptr && it->is_string() ? std::string{it->as_string()} : std::string{};
}

row to_row(const boost::json::value& value) {
    const auto& object = value.as_object();
    return {string_member(object, "key"), object.at("version").to_number<std::uint64_t>(),
            object.at("value")};
}

/// Returns the parsed JSON body of a response with status 200, or nothing otherwise.
std::optional<boost::json::value> body_of(const http::call_result& result) {
    const auto* content = std::get_if<http::response>(&result);
    if (content == nullptr || content->status != 200) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    auto value = boost::json::parse(content->body, ec);
    if (ec) {
        return std::nullopt;
    }
    return value;
}

rows_result rows_of(const http::call_result& result) {
    const auto body = body_of(result);
    if (!body) {
        return {};
    }
    try {
        rows_result rows{store_status::done, {}};
        if (const auto* list = body->as_object().if_contains("rows")) {
            for (const auto& it : list->as_array()) {
                rows.rows.push_back(to_row(it));
            }
        } else {
            rows.rows.push_back(to_row(*body));
        }
        return rows;
    } catch (const std::exception&) {
        return {};
    }
}

boost::json::value to_json(const transaction& value) {
    boost::json::array conditions;
    for (const auto& it : value.conditions) {
        conditions.push_back(boost::json::object{
            {"table", it.target.table}, {"key", it.target.key}, {"version", it.version}});
    }
    boost::json::array writes;
    for (const auto& it : value.writes) {
        boost::json::object write{{"table", it.target.table}, {"key", it.target.key}};
        if (it.value) {
            write["value"] = *it.value;
        } else {
            write["delete"] = true;
        }
        writes.push_back(std::move(write));
    }
    return boost::json::object{{"conditions", std::move(conditions)},
                               {"writes", std::move(writes)}};
}

store_status status_of(const http::call_result& result) {
    if (const auto* error = std::get_if<http::call_error>(&result)) {
        return error->sent ? store_status::unknown : store_status::unavailable;
    }
    switch (std::get<http::response>(result).status) {
    case 200:
        return store_status::done;
    case 409:
        return store_status::conflict;
    case 503:
        // The service responds with 503 before it processes the transaction, so nothing was
        // written.
        return store_status::unavailable;
    default:
        return store_status::unknown;
    }
}

std::optional<std::vector<instance>> members_of(const http::call_result& result) {
    const auto body = body_of(result);
    if (!body) {
        return std::nullopt;
    }
    try {
        std::vector<instance> members;
        for (const auto& it : body->as_object().at("instances").as_array()) {
            const auto& object = it.as_object();
            members.push_back({string_member(object, "name"), string_member(object, "pool"),
                               string_member(object, "failure_domain"),
                               string_member(object, "address"),
                               common::from_name<instance_state>(string_member(object, "state"))
                                   .value_or(instance_state::live)});
        }
        return members;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

store::store(const runtime::task_context& context, const http::endpoint& server,
             http::client_limits limits)
    : m_client{context, server, limits} {}

void store::read(const row_key& target, std::function<void(rows_result)> done) {
    m_client.send(
        {"GET", "/v1/tables/" + target.table + "/rows/" + target.key, {}, {}},
        [done = std::move(done)](const http::call_result& result) { done(rows_of(result)); });
}

void store::scan(const std::string& table, const std::string& prefix,
                 std::function<void(rows_result)> done) {
    m_client.send(
        {"GET", "/v1/tables/" + table + "/rows?prefix=" + prefix, {}, {}},
        [done = std::move(done)](const http::call_result& result) { done(rows_of(result)); });
}

void store::commit(const transaction& value, std::function<void(store_status)> done) {
    m_client.send(
        {"POST",
         "/v1/transactions",
         {{"Content-Type", "application/json"}},
         boost::json::serialize(to_json(value))},
        [done = std::move(done)](const http::call_result& result) { done(status_of(result)); },
        {.idempotent = false});
}

void store::read_members(std::function<void(std::optional<std::vector<instance>>)> done) {
    m_client.send(
        {"GET", "/v1/membership", {}, {}},
        [done = std::move(done)](const http::call_result& result) { done(members_of(result)); });
}

} // namespace jujubemast::table_service
