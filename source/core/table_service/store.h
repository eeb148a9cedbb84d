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

/// Identifies a row of the table service.
struct row_key {
    std::string table;
    std::string key;

    friend auto operator<=>(const row_key&, const row_key&) = default;
};

struct row {
    std::string key;
    /// Increases by one with each write of the row. A row that does not exist has version 0.
    std::uint64_t version = 0;
    boost::json::value value;
};

/// Requires that a row has this version.
struct row_condition {
    row_key target;
    std::uint64_t version = 0;
};

/// Writes a row, or deletes it if there is no value.
struct row_write {
    row_key target;
    std::optional<boost::json::value> value;
};

/// Conditions and writes that are applied atomically, only if every condition holds.
struct transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/// How a call to the table service ended. After `unknown`, a write may have taken effect.
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
    /// Address on which the instance's sidecar accepts links from entries, as IP:PORT.
    std::string address;
    instance_state state = instance_state::live;

    friend bool operator==(const instance&, const instance&) = default;
};

/// Client of the platform's table service and membership list. Owned by one task.
class store {
public:
    store(const runtime::task_context& context, const http::endpoint& server,
          http::client_limits limits);

    /// Reads one row. A row that does not exist has version 0 and a null value.
    void read(const row_key& target, std::function<void(rows_result)> done);

    /// Reads all rows of a table whose keys start with the prefix, in the order of their keys.
    void scan(const std::string& table, const std::string& prefix,
              std::function<void(rows_result)> done);

    /// Runs a transaction. The request is sent only once. After `unknown` the caller must read the
    /// rows to learn the outcome.
    void commit(const transaction& value, std::function<void(store_status)> done);

    /// Reads the membership list. The result is empty if the platform does not respond.
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
