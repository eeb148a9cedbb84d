#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "standins/service_messages.h"

namespace jujubemast::standins {

/// Behaviour of a stand-in engine. PUT /control/behavior changes it at run time.
struct engine_behavior {
    /// Maximum number of streams in the batch; further requests wait.
    std::int64_t slots = 8;
    /// Time between two steps of the batch. Each step generates one token of every stream.
    common::duration step_time = std::chrono::milliseconds{5};
    /// Prompt bytes of a stream that one step processes before the first token.
    std::int64_t prefill_bytes_per_step = 2048;
    /// Maximum number of prompt prefixes in the cache.
    std::int64_t cache_entries = 64;
    /// Rejects orders whose fencing number is lower than the highest one received.
    bool checks_fencing = true;
    /// Accepts streams but generates no tokens.
    bool silent = false;
};

/// Simulates a model engine: continuous batching with a fixed number of slots, priorities, a prefix
/// cache, streaming, cancellation, resumption, load and cache reports, and orders.
class engine_service final : public runtime::task {
public:
    engine_service(runtime::task_context context,
                   std::shared_ptr<runtime::mailbox<service_message>> inbox,
                   engine_behavior behavior);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    /// A token stream that is queued or being generated.
    struct generation {
        http_call call;
        std::string execution_id;
        std::string input;
        std::string context;
        /// Offset of the first token to generate; greater than zero when the stream is resumed.
        std::uint64_t first_offset = 0;
        std::uint64_t next_offset = 0;
        std::uint64_t end_offset = 0;
        /// Bytes of the prompt that have not been processed yet.
        std::int64_t prefill_left = 0;
        int urgency = 3;
        bool ended = false;
    };

    void handle_call(http_call call);
    void generate(http_call call);
    void serve_control(const http_call& call, std::string_view resource);
    void serve_order(const http_call& call);
    void serve_load(const http_call& call);
    void serve_events(const http_call& call, std::string_view query);
    void cancel(const std::string& execution_id);
    void remove_call(std::uint64_t id);
    void fill_slots();
    void step();
    void advance(generation& it);
    /// Looks up the prefix of a prompt and adds it if absent. Returns the bytes left to process.
    [[nodiscard]] std::int64_t access_prefix_cache(const std::string& input);

    runtime::task_context m_context;
    runtime::inbox<service_message> m_inbox;
    engine_behavior m_behavior;
    runtime::timer m_step_timer;
    bool m_stepping = false;
    std::list<generation> m_waiting;
    std::list<generation> m_running;
    /// Number of executions by request id.
    std::map<std::string, std::uint64_t> m_executions;
    /// First offset of the latest execution, by request id.
    std::map<std::string, std::uint64_t> m_offsets;
    /// Cached prompt prefixes, the least recently used first.
    std::deque<std::string> m_prefix_cache;
    std::deque<std::pair<std::uint64_t, std::string>> m_cache_events;
    std::uint64_t m_next_event = 1;
    std::set<std::string> m_models{"base"};
    std::string m_role = "generate";
    std::int64_t m_fencing = 0;
    std::uint64_t m_tokens = 0;
    /// Load as last published. It is refreshed at intervals, so readers see an outdated value.
    std::size_t m_published_waiting = 0;
    std::size_t m_published_running = 0;
    common::time_point m_published_at;
};

} // namespace jujubemast::standins
