#include "gateway/store/stream_writer.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace jujubemast::gateway::store {

namespace {

// A first event waits for its row for this long at most. Without the row its stream cannot be
// resumed, but it can go on.
constexpr common::duration record_timeout = std::chrono::milliseconds{250};
constexpr common::duration call_timeout = std::chrono::milliseconds{800};
// The delay doubles with each failed call in a row, because refused calls are priced as well.
constexpr common::duration min_retry_delay = std::chrono::milliseconds{200};
constexpr common::duration max_retry_delay = std::chrono::seconds{1};
// Rows that could not be removed are left to the store after this many further calls.
constexpr unsigned max_failed_removals = 3;
// The store's limit for the entries of one call.
constexpr std::size_t max_rows_per_call = 100;

} // namespace

stream_writer::stream_writer(const runtime::task_context& context, store_session& session,
                             std::shared_ptr<const adapter> platform_adapter,
                             stream_writer_limits limits)
    : m_context{context}, m_session{session}, m_adapter{std::move(platform_adapter)},
      m_limits{limits}, m_removal_timer{context.loop()} {}

void stream_writer::record(stream_record record, done_hook done) {
    const auto now = common::monotonic_clock::now();
    const auto index = stream_partition(record.stream);
    record.recorded_ms = m_session.store_time_ms(now);
    auto row = std::make_shared<waiting_row>();
    row->record = std::move(record);
    row->since = now;
    row->done = std::move(done);
    row->timer = std::make_unique<runtime::timer>(m_context.loop());
    row->timer->start(record_timeout, m_context.wrap([row = std::weak_ptr{row}] {
        if (const auto waiting = row.lock()) {
            finish(*waiting, record_outcome::unavailable);
        }
    }));
    m_partitions[index].waiting.push_back(std::move(row));
    write(index);
}

void stream_writer::finish(waiting_row& row, record_outcome outcome) {
    row.timer->cancel();
    if (const auto done = std::exchange(row.done, {})) {
        done(outcome);
    }
}

void stream_writer::write(std::size_t index) {
    auto& queue = m_partitions[index];
    if (queue.write_in_progress || queue.waiting.empty()) {
        return;
    }
    const auto n = static_cast<std::ptrdiff_t>(std::min(queue.waiting.size(), max_rows_per_call));
    std::vector<row_pointer> rows{queue.waiting.begin(), queue.waiting.begin() + n};
    queue.waiting.erase(queue.waiting.begin(), queue.waiting.begin() + n);
    std::vector<stream_record> records;
    std::transform(rows.begin(), rows.end(), std::back_inserter(records),
                   [](const row_pointer& it) { return it->record; });
    queue.write_in_progress = true;
    m_session.write(m_adapter->encode_stream_write(records, {}), call_timeout,
                    [this, index, rows = std::move(rows)](const store_response& response) {
                        written(index, rows, response);
                    });
}

void stream_writer::written(std::size_t index, const std::vector<row_pointer>& rows,
                            const store_response& response) {
    auto& queue = m_partitions[index];
    const auto now = common::monotonic_clock::now();
    for (const auto& it : rows) {
        // Also after a call without a response, which the store may still perform.
        if (!std::exchange(it->is_removed_later, true)) {
            m_written.push_back({it->record.stream, now});
        }
    }
    schedule_removal();
    if (response.outcome == store_outcome::done) {
        for (const auto& it : rows) {
            finish(*it, record_outcome::recorded);
        }
        queue.retry_delay = common::duration::zero();
        queue.write_in_progress = false;
        write(index);
        return;
    }
    m_log.info("Could not record streams; will retry.",
               {{"count", std::to_string(rows.size())}, {"reason", response.detail}});
    for (const auto& it : rows) {
        if (now - it->since < m_limits.retention) {
            queue.waiting.push_back(it);
        }
    }
    if (!queue.retry_timer) {
        queue.retry_timer = std::make_unique<runtime::timer>(m_context.loop());
    }
    queue.retry_delay = std::clamp(2 * queue.retry_delay, min_retry_delay, max_retry_delay);
    queue.retry_timer->start(queue.retry_delay, m_context.wrap([this, index] {
        m_partitions[index].write_in_progress = false;
        write(index);
    }));
}

void stream_writer::schedule_removal() {
    if (std::exchange(m_removal_scheduled, true)) {
        return;
    }
    m_removal_timer.start(m_limits.removal_interval, m_context.wrap([this] {
        m_removal_scheduled = false;
        remove_expired();
    }));
}

void stream_writer::remove_expired() {
    const auto limit = common::monotonic_clock::now() - m_limits.retention;
    std::array<std::vector<written_row>, stream_partitions> expired;
    while (!m_written.empty() && m_written.front().at <= limit) {
        auto& same_partition = expired[stream_partition(m_written.front().stream)];
        same_partition.push_back(std::move(m_written.front()));
        m_written.pop_front();
        if (same_partition.size() == max_rows_per_call) {
            remove(std::exchange(same_partition, {}));
        }
    }
    for (const auto& rows : expired) {
        remove(rows);
    }
    if (!m_written.empty()) {
        schedule_removal();
    }
}

void stream_writer::remove(const std::vector<written_row>& rows) {
    if (rows.empty()) {
        return;
    }
    std::vector<stream_id> streams;
    std::transform(rows.begin(), rows.end(), std::back_inserter(streams),
                   [](const written_row& it) { return it.stream; });
    m_session.write(m_adapter->encode_stream_write({}, streams), call_timeout,
                    [this, rows](const store_response& response) {
                        if (response.outcome == store_outcome::done) {
                            return;
                        }
                        const auto now = common::monotonic_clock::now();
                        for (const auto& it : rows) {
                            if (it.failed_removals < max_failed_removals) {
                                m_written.push_back({it.stream, now, it.failed_removals + 1});
                            }
                        }
                        schedule_removal();
                    });
}

void stream_writer::close() noexcept {
    m_removal_timer.cancel();
    for (auto& it : m_partitions) {
        it.waiting.clear();
        it.retry_timer.reset();
    }
}

std::size_t stream_writer::waiting() const {
    return std::accumulate(
        m_partitions.begin(), m_partitions.end(), std::size_t{0},
        [](std::size_t sum, const row_queue& it) { return sum + it.waiting.size(); });
}

} // namespace jujubemast::gateway::store
