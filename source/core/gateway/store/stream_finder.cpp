#include "gateway/store/stream_finder.h"

#include <utility>

#include "common/error.h"
#include "gateway/store/version_list.h"

namespace jujubemast::gateway::store {

namespace {

// Time for the whole search.
constexpr common::duration search_timeout = std::chrono::milliseconds{800};
// Leaves time for another call if a response is lost.
constexpr common::duration call_timeout = std::chrono::milliseconds{300};
// Another gateway may be about to record the stream, because it has just learned of a second
// version.
constexpr common::duration second_read_delay = std::chrono::milliseconds{200};
constexpr common::duration retry_delay = std::chrono::milliseconds{100};
constexpr unsigned max_row_reads = 2;

} // namespace

stream_finder::stream_finder(const runtime::task_context& context, store_session& session,
                             std::shared_ptr<const adapter> platform_adapter)
    : m_context{context}, m_session{session}, m_adapter{std::move(platform_adapter)} {}

void stream_finder::find(const stream_id& stream, done_hook done) {
    const auto id = m_next_id++;
    auto& added = m_searches[id];
    added.stream = stream;
    added.done = std::move(done);
    added.deadline = std::make_unique<runtime::timer>(m_context.loop());
    added.deadline->start(search_timeout, m_context.wrap([this, id] {
        end(id, {find_outcome::unavailable, {}});
    }));
    added.delay = std::make_unique<runtime::timer>(m_context.loop());
    advance(id);
}

void stream_finder::advance(std::uint64_t id) {
    const auto& state = m_searches.at(id);
    if (state.row_reads == 0) {
        read_row(id);
    } else if (!state.list_read) {
        read_list(id);
    } else if (state.row_reads < max_row_reads) {
        state.delay->start(second_read_delay, m_context.wrap([this, id] { read_row(id); }));
    } else {
        end(id, {find_outcome::unknown, {}});
    }
}

stream_finder::search* stream_finder::accept(std::uint64_t id, const store_response& response) {
    const auto it = m_searches.find(id);
    if (it == m_searches.end()) {
        return nullptr;
    }
    if (response.outcome != store_outcome::done) {
        it->second.delay->start(retry_delay, m_context.wrap([this, id] { advance(id); }));
        return nullptr;
    }
    return &it->second;
}

void stream_finder::read_row(std::uint64_t id) {
    m_session.read(m_adapter->encode_stream_read(m_searches.at(id).stream), call_timeout,
                   [this, id](const store_response& it) { row_received(id, it); });
}

void stream_finder::row_received(std::uint64_t id, const store_response& response) {
    auto* state = accept(id, response);
    if (state == nullptr) {
        return;
    }
    ++state->row_reads;
    try {
        for (const auto& row : response.content.rows) {
            if (const auto record = m_adapter->decode_stream(state->stream, row)) {
                end(id, {find_outcome::found, record->version});
                return;
            }
        }
    } catch (const common::format_error& e) {
        m_log.error("Could not decode the row of a stream.",
                    {{"attempt", state->stream.attempt_id}, {"reason", e.what()}});
        end(id, {find_outcome::unknown, {}});
        return;
    }
    advance(id);
}

void stream_finder::read_list(std::uint64_t id) {
    m_session.read(m_adapter->encode_versions_read(m_searches.at(id).stream.service), call_timeout,
                   [this, id](const store_response& it) { list_received(id, it); });
}

void stream_finder::list_received(std::uint64_t id, const store_response& response) {
    auto* state = accept(id, response);
    if (state == nullptr) {
        return;
    }
    state->list_read = true;
    version_row row{{}, m_session.era(), response.content.now_ms.value_or(0)};
    try {
        for (const auto& known : response.content.rows) {
            if (!row.listed) {
                row.listed = m_adapter->decode_versions(state->stream.service, known);
            }
        }
    } catch (const common::format_error& e) {
        m_log.error("Could not decode the list of software versions.",
                    {{"service", state->stream.service}, {"reason", e.what()}});
    }
    if (const auto version = sole_version(row)) {
        end(id, {find_outcome::found, *version});
        return;
    }
    advance(id);
}

void stream_finder::end(std::uint64_t id, const find_result& result) {
    const auto ended = m_searches.extract(id);
    if (!ended.empty()) {
        ended.mapped().done(result);
    }
}

} // namespace jujubemast::gateway::store
