#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gateway/adapter.h"
#include "gateway/store/store_session.h"
#include "gateway/stream_record.h"
#include "logging/logger.h"
#include "runtime/task.h"

namespace jujubemast::gateway::store {

struct find_result {
    find_outcome outcome = find_outcome::unknown;
    std::string version;
};

/// Finds the software version that began a stream, from what the store holds after the question:
/// the row of the stream, or a list with only one version. What this gateway knows by itself does
/// not count, because other gateways may have listed a version and begun its streams meanwhile.
/// Belongs to one task.
class stream_finder {
public:
    using done_hook = std::function<void(const find_result&)>;

    stream_finder(const runtime::task_context& context, store_session& session,
                  std::shared_ptr<const adapter> platform_adapter);

    /// Reads the row of the stream first: after a restore the list may have lost a version that the
    /// row names.
    void find(const stream_id& stream, done_hook done);

    void close() noexcept { m_searches.clear(); }

    [[nodiscard]] std::size_t searches() const { return m_searches.size(); }

private:
    struct search {
        stream_id stream;
        done_hook done;
        unsigned row_reads = 0;
        bool list_read = false;
        /// The end of the time for the whole search.
        std::unique_ptr<runtime::timer> deadline;
        std::unique_ptr<runtime::timer> delay;
    };

    /// Makes the next call of a search, or ends it.
    void advance(std::uint64_t id);
    void read_row(std::uint64_t id);
    void row_received(std::uint64_t id, const store_response& response);
    void read_list(std::uint64_t id);
    void list_received(std::uint64_t id, const store_response& response);
    /// Returns the search that a response belongs to. Returns null if the search has ended, or if
    /// the response is a failure; the call is then made again after a short time.
    search* accept(std::uint64_t id, const store_response& response);
    void end(std::uint64_t id, const find_result& result);

    runtime::task_context m_context;
    store_session& m_session;
    std::shared_ptr<const adapter> m_adapter;
    std::uint64_t m_next_id = 0;
    std::map<std::uint64_t, search> m_searches;
    logging::logger m_log{"streams"};
};

} // namespace jujubemast::gateway::store
