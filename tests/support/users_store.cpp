#include "support/users_store.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <openssl/evp.h>

namespace jujubemast::tests {

namespace {

std::string to_base64(const std::string& bytes) {
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                  reinterpret_cast<const unsigned char*>(bytes.data()),
                                  static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::string from_base64(const std::string& text) {
    std::string bytes(text.size() / 4 * 3, '\0');
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(text.data()),
                    static_cast<int>(text.size()));
    bytes.resize(bytes.size() -
                 static_cast<std::size_t>(std::count(text.begin(), text.end(), '=')));
    return bytes;
}

std::string text_of(const boost::json::value& row, const char* name) {
    return std::string{row.at(name).as_string()};
}

/// Returns the name under which a part of a table is stored. The empty part has the table's name.
std::string part_name(const std::string& table, std::string_view part) {
    return part.empty() ? table : table + '/' + std::string{part};
}

std::string part_name_of(const boost::json::value& row) {
    return part_name(text_of(row, "table"), text_of(row, "part"));
}

std::int64_t steady_ms() {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

void users_store::put_bytes(const std::string& table, const std::string& key, std::string bytes) {
    m_content.tables[table][key] = {std::move(bytes), ++m_content.version};
    respond_to_long_polls();
}

void users_store::remove(const std::string& table, const std::string& key) {
    m_content.tables[table][key] = {std::nullopt, ++m_content.version};
    respond_to_long_polls();
}

http::response users_store::make_response(unsigned status, const boost::json::object& body) const {
    auto response = http::json_response(status, boost::json::serialize(body));
    response.fields.push_back({"Store-Era", std::to_string(m_era)});
    return response;
}

boost::json::array users_store::changed_rows(const std::string& table, std::uint64_t after) const {
    boost::json::array rows;
    const auto it = m_content.tables.find(table);
    if (it == m_content.tables.end()) {
        return rows;
    }
    for (const auto& [key, row] : it->second) {
        if (row.version <= after || (after == 0 && !row.value)) {
            continue;
        }
        boost::json::object encoded_row{
            {"table", table}, {"part", ""}, {"key", key}, {"row_version", row.version}};
        if (row.value) {
            encoded_row["value"] = to_base64(*row.value);
        } else {
            encoded_row["deleted"] = true;
        }
        rows.emplace_back(std::move(encoded_row));
    }
    return rows;
}

http::response users_store::rows_after(const std::string& table, std::uint64_t after) const {
    if (after > m_content.version) {
        return make_response(410, {});
    }
    return make_response(200, {{"rows", changed_rows(table, after)},
                               {"has_more", false},
                               {"row_version", m_content.version},
                               {"now_ms", steady_ms()}});
}

http::response users_store::rows_from(const std::string& part, std::string_view from,
                                      std::size_t limit) const {
    boost::json::array rows;
    for (auto& it : changed_rows(part, 0)) {
        if (rows.size() < limit && std::string_view{it.at("key").as_string()} >= from) {
            rows.push_back(std::move(it));
        }
    }
    return make_response(200, {{"rows", std::move(rows)},
                               {"has_more", false},
                               {"row_version", m_content.version},
                               {"now_ms", steady_ms()}});
}

void users_store::respond_to_long_polls() {
    std::erase_if(m_long_polls, [this](const long_poll& it) {
        const bool changed = !changed_rows(it.table, it.after).empty();
        if (changed) {
            it.reply.respond(rows_after(it.table, it.after));
        }
        return changed;
    });
}

void users_store::watch(const std::string& table, std::string_view query,
                        const http::responder& reply) {
    const auto number = [&](const char* name) {
        return std::stoull(std::string{http::query_value(query, name)});
    };
    const auto after = number("after");
    const auto wait = std::chrono::milliseconds{number("wait_ms")};
    if (wait.count() == 0 || after > m_content.version || !changed_rows(table, after).empty()) {
        reply.respond(rows_after(table, after));
        return;
    }
    const auto timeout = std::make_shared<runtime::timer>(m_loop);
    m_long_polls.push_back({table, after, reply, timeout});
    timeout->start(wait, [this, table, after, reply, timer = timeout.get()] {
        const auto ended = std::erase_if(
            m_long_polls, [timer](const long_poll& it) { return it.timeout.get() == timer; });
        if (ended > 0) {
            reply.respond(rows_after(table, after));
        }
    });
}

bool users_store::meets_conditions(const boost::json::value& transaction) const {
    const auto& conditions = transaction.at("expect").as_array();
    return std::all_of(conditions.begin(), conditions.end(), [this](const boost::json::value& it) {
        const auto table = m_content.tables.find(part_name_of(it));
        const auto expected = it.at("row_version").to_number<std::uint64_t>();
        if (table == m_content.tables.end()) {
            return expected == 0;
        }
        const auto row = table->second.find(text_of(it, "key"));
        const bool exists = row != table->second.end() && row->second.value;
        return expected == (exists ? row->second.version : 0);
    });
}

http::response users_store::commit(const std::string& body) {
    const auto transaction = boost::json::parse(body);
    if (!meets_conditions(transaction)) {
        return make_response(412, {{"rows", boost::json::array{}},
                                   {"row_version", m_content.version},
                                   {"now_ms", steady_ms()}});
    }
    for (const auto& row : transaction.at("puts").as_array()) {
        put_bytes(part_name_of(row), text_of(row, "key"), from_base64(text_of(row, "value")));
    }
    for (const auto& row : transaction.at("remove").as_array()) {
        remove(part_name_of(row), text_of(row, "key"));
    }
    return make_response(200, {{"row_version", m_content.version}, {"now_ms", steady_ms()}});
}

void users_store::leave_unanswered(const std::string& table, const http::responder& reply) {
    m_unanswered.push_back(reply);
    ++m_lost_calls[table];
}

void users_store::set_silent(bool silent) {
    m_silent = silent;
    if (!silent) {
        return;
    }
    for (const auto& it : std::exchange(m_long_polls, {})) {
        leave_unanswered(it.table, it.reply);
    }
}

void users_store::restore() {
    m_content = m_copy;
    ++m_era;
    std::erase_if(m_long_polls, [this](const long_poll& it) {
        const bool is_gone = it.after > m_content.version;
        if (is_gone) {
            it.reply.respond(rows_after(it.table, it.after));
        }
        return is_gone;
    });
}

std::vector<std::string> users_store::keys_of(const std::string& table) const {
    std::vector<std::string> keys;
    for (const auto& [name, rows] : m_content.tables) {
        if (name != table && !name.starts_with(table + '/')) {
            continue;
        }
        for (const auto& [key, row] : rows) {
            if (row.value) {
                keys.push_back(key);
            }
        }
    }
    return keys;
}

std::size_t users_store::count_polls(std::string_view table) const {
    return static_cast<std::size_t>(
        std::count_if(m_long_polls.begin(), m_long_polls.end(),
                      [&](const long_poll& it) { return it.table == table; }));
}

bool users_store::serve(const http::request& message, const http::responder& reply) {
    const auto [path, query] = http::split_target(message.target);
    if (!path.starts_with("/rows-")) {
        return false;
    }
    const std::string table{http::query_value(query, "table")};
    if (m_silent) {
        leave_unanswered(table, reply);
    } else if (path == "/rows-get") {
        constexpr std::size_t max_rows = 500;
        const auto limit = http::query_value(query, "limit");
        reply.respond(rows_from(part_name(table, http::query_value(query, "part")),
                                http::query_value(query, "from"),
                                limit.empty() ? max_rows : std::stoul(std::string{limit})));
    } else if (path == "/rows-feed") {
        watch(table, query, reply);
    } else if (path == "/rows-tx") {
        reply.respond(commit(message.body));
    } else {
        reply.respond(make_response(404, {}));
    }
    return true;
}

} // namespace jujubemast::tests
