#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "http/server.h"
#include "runtime/executor.h"

namespace jujubemast::tests {

/// The store of the stand-in for the users' platform: rows in tables and their parts, changes after
/// a version, and transactions. It may fall silent, and may be restored from an older copy of
/// itself.
class users_store {
public:
    explicit users_store(runtime::executor loop) : m_loop{loop} {}

    void put(const std::string& table, const std::string& key, const boost::json::value& value) {
        put_bytes(table, key, boost::json::serialize(value));
    }

    void put_bytes(const std::string& table, const std::string& key, std::string bytes);
    void remove(const std::string& table, const std::string& key);

    /// Returns the bytes of a row that exists.
    [[nodiscard]] const std::string& bytes_of(const std::string& table, const std::string& key) {
        return *m_content.tables[table][key].value;
    }

    /// Performs a transaction and returns the response.
    http::response commit(const std::string& transaction);

    /// Responds to a call if it is one of the store. Returns whether it is.
    bool serve(const http::request& message, const http::responder& reply);

    /// Leaves all calls unanswered, also those in progress, or ends that.
    void set_silent(bool silent);

    /// Keeps a copy of the store that lacks a table, as one that was taken before its first row.
    void take_copy(const std::string& without_table) {
        m_copy = m_content;
        m_copy.tables.erase(without_table);
    }

    /// Comes back from the copy: versions go back, and the era rises. Calls in progress that ask
    /// for changes after a version that the store no longer has get 410; the others wait on.
    void restore();

    /// Number of calls for a table that were lost while the store was silent.
    [[nodiscard]] int lost_calls(const std::string& table) const {
        const auto it = m_lost_calls.find(table);
        return it == m_lost_calls.end() ? 0 : it->second;
    }

    /// Number of long polls for a table in progress.
    [[nodiscard]] std::size_t count_polls(std::string_view table) const;

    /// Keys of the rows of a table in all its parts.
    [[nodiscard]] std::vector<std::string> keys_of(const std::string& table) const;

    /// The newest version.
    [[nodiscard]] std::uint64_t version() const { return m_content.version; }

private:
    struct stored_row {
        /// Empty for a row that was removed.
        std::optional<std::string> value;
        std::uint64_t version = 0;
    };

    struct content {
        std::map<std::string, std::map<std::string, stored_row>> tables;
        std::uint64_t version = 1;
    };

    /// A call that waits until a table changes.
    struct long_poll {
        std::string table;
        std::uint64_t after = 0;
        http::responder reply;
        std::shared_ptr<runtime::timer> timeout;
    };

    /// Makes a response of the store, which names its era.
    [[nodiscard]] http::response make_response(unsigned status,
                                               const boost::json::object& body) const;
    /// Returns the rows changed after a version, including deleted ones. Version zero selects all
    /// existing rows.
    [[nodiscard]] boost::json::array changed_rows(const std::string& table,
                                                  std::uint64_t after) const;
    /// Returns the existing rows of a part from a key on.
    [[nodiscard]] http::response rows_from(const std::string& part, std::string_view from,
                                           std::size_t limit) const;
    [[nodiscard]] http::response rows_after(const std::string& table, std::uint64_t after) const;
    /// Responds to the long polls whose tables have changed.
    void respond_to_long_polls();
    /// Responds to a call for changes as soon as there are any, or when its wait time ends.
    void watch(const std::string& table, std::string_view query, const http::responder& reply);
    /// Whether the rows have the versions that a transaction expects.
    [[nodiscard]] bool meets_conditions(const boost::json::value& transaction) const;
    /// Keeps a call open without ever responding.
    void leave_unanswered(const std::string& table, const http::responder& reply);

    runtime::executor m_loop;
    content m_content;
    content m_copy;
    std::uint64_t m_era = 1;
    std::vector<long_poll> m_long_polls;
    std::vector<http::responder> m_unanswered;
    bool m_silent = false;
    std::map<std::string, int> m_lost_calls;
};

} // namespace jujubemast::tests
