#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "gateway/adapter.h"
#include "gateway/store/store_session.h"
#include "gateway/store/version_list.h"
#include "gateway/stream_record.h"
#include "logging/logger.h"
#include "runtime/task.h"

namespace jujubemast::gateway::store {

/// Times of the rows of streams.
struct stream_writer_limits {
    /// How long a row is kept, and for how long the writer tries to write it.
    common::duration retention = stream_retention;
    /// Expired rows are removed together, because each call is priced.
    common::duration removal_interval = std::chrono::seconds{30};
};

/// Writes the rows of streams, and removes them when their streams can no longer be resumed. One
/// write at a time is in progress for each partition, with all rows that were waiting. Belongs to
/// one task.
class stream_writer {
public:
    using done_hook = std::function<void(record_outcome)>;

    stream_writer(const runtime::task_context& context, store_session& session,
                  std::shared_ptr<const adapter> platform_adapter,
                  stream_writer_limits limits = {});

    /// Calls `done` once: when the store has the row, or after a short time without that. The
    /// writer goes on trying for some time after it.
    void record(stream_record record, done_hook done);

    void close() noexcept;

    /// Number of rows that are not written yet.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct waiting_row {
        stream_record record;
        common::time_point since;
        /// Empty once it has been called.
        done_hook done;
        std::unique_ptr<runtime::timer> timer;
        /// Whether the row is among those that have to be removed.
        bool is_removed_later = false;
    };
    using row_pointer = std::shared_ptr<waiting_row>;

    struct row_queue {
        std::deque<row_pointer> waiting;
        bool write_in_progress = false;
        common::duration retry_delay = common::duration::zero();
        std::unique_ptr<runtime::timer> retry_timer;
    };

    struct written_row {
        stream_id stream;
        common::time_point at;
        unsigned failed_removals = 0;
    };

    void write(std::size_t index);
    void written(std::size_t index, const std::vector<row_pointer>& rows,
                 const store_response& response);
    static void finish(waiting_row& row, record_outcome outcome);
    /// Removes the rows whose retention time is over.
    void remove_expired();
    void remove(const std::vector<written_row>& rows);
    void schedule_removal();

    runtime::task_context m_context;
    store_session& m_session;
    std::shared_ptr<const adapter> m_adapter;
    stream_writer_limits m_limits;
    std::array<row_queue, stream_partitions> m_partitions;
    /// The rows that this gateway has to remove, oldest first.
    std::deque<written_row> m_written;
    runtime::timer m_removal_timer;
    bool m_removal_scheduled = false;
    logging::logger m_log{"streams"};
};

} // namespace jujubemast::gateway::store
