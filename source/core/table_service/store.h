#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/json/value.hpp>

#include "common/enum_names.h"
#include "http/client.h"

namespace jujubemast::table_service {

/// Names a row of the table service.
struct row_key {
    std::string table;
    std::string key;

    friend auto operator<=>(const row_key&, const row_key&) = default;
};

struct row {
    std::string key;
    /// Grows by one with each write of the row; an absent row has version 0.
    std::uint64_t version = 0;
    boost::json::value value;
};

struct row_condition {
    row_key target;
    std::uint64_t version = 0;
};

/// Writes a row, or deletes it when there is no value.
struct row_write {
    row_key target;
    std::optional<boost::json::value> value;
};

/// Applied whole or not at all, and only if every condition holds.
struct transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/// How a call to the platform's storage ended. After `unknown` a write may have taken effect.
enum class store_status { done, conflict, unavailable, unknown };

struct rows_result {
    store_status status = store_status::unavailable;
    std::vector<row> rows;
};

/// State of an instance in the platform's membership list.
enum class instance_state { live, leaving };

struct instance {
    std::string name;
    std::string pool;
    std::string failure_domain;
    /// Address of the instance's sidecar for entries, as IP:PORT.
    std::string address;
    instance_state state = instance_state::live;

    friend bool operator==(const instance&, const instance&) = default;
};

/// Client of the platform's table service and membership list. Owned by one task.
class store {
public:
    store(const runtime::task_context& context, const http::endpoint& server,
          http::client_limits limits);

    /// Reads one row; an absent row gives version 0 and a null value.
    void read(const row_key& target, std::function<void(rows_result)> done);

    /// Reads all rows of a table whose keys start with the prefix, in the order of their keys.
    void scan(const std::string& table, const std::string& prefix,
              std::function<void(rows_result)> done);

    /// Runs a transaction. It is sent once only: after `unknown`, read back to learn the outcome.
    void commit(const transaction& value, std::function<void(store_status)> done);

    /// Reads the membership list; nothing when the platform does not answer.
    void read_members(std::function<void(std::optional<std::vector<instance>>)> done);

    void close() noexcept { m_client.close(); }

private:
    http::client m_client;
};

} // namespace jujubemast::table_service

namespace jujubemast::common {

template <>
struct enum_names<table_service::store_status> {
    static constexpr std::array<std::string_view, 4> table{"done", "conflict", "unavailable",
                                                           "unknown"};
};

template <>
struct enum_names<table_service::instance_state> {
    static constexpr std::array<std::string_view, 2> table{"live", "leaving"};
};

} // namespace jujubemast::common
