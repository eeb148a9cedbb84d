#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "common/enum_names.h"
#include "common/time.h"
#include "gateway/configuration.h"
#include "gateway/instances/service_pool.h"
#include "gateway/requests/attempt_decision.h"
#include "gateway/stream_record.h"
#include "metrics/registry.h"

namespace jujubemast::gateway::requests {

/// How a caller's request ended.
enum class request_end { answered, upstream_failure, refused, failed, timed_out, cut, caller_left };

/// What became of a request that resumes a stream.
enum class resumed_outcome {
    /// The software version that began the stream was found.
    found,
    /// No instance has that version any more.
    no_instance,
    /// Nothing shows which version began the stream.
    unknown,
    /// The store did not respond in time.
    unavailable
};

/// Request counters and latencies of one gateway.
class forwarder_metrics {
public:
    void record_end(repeatability kind, request_end end, common::duration time);
    void record_first_byte(repeatability kind, common::duration time);
    void record_step(attempt_end end, next_step step);
    /// Records that a request waits because no instance can take it.
    void record_wait(instances::choice_outcome cause);
    /// Records a send, and whether it or its inputs cross failure domains.
    void record_placement(policy::placement_reason reason, bool crosses, double remote_bytes);
    /// Records the result of looking up the software version of a stream, or a refusal after it.
    void record_resumed_stream(resumed_outcome outcome);
    /// Records whether the software version that began a stream was written to the store.
    void record_recorded_stream(record_outcome outcome);
    void record_quarantine_refusal();
    void set_quarantined_parts(std::size_t n);
    void set_drained_domains(std::size_t n);
    void set_store_restores(std::size_t n);
    void set_in_progress(std::size_t n);
    void set_cold_instances(std::size_t n);
    /// Records the end of a search for an engine that may read a long prompt.
    void record_reading_search(bool granted);
    void set_reading_engines(std::size_t n);
    void set_configuration_age(common::duration age);
    void set_configuration_faults(std::size_t n);

    [[nodiscard]] std::string text() const { return m_registry.text(); }

private:
    metrics::registry m_registry;
};

} // namespace jujubemast::gateway::requests

namespace jujubemast::common {

template <>
struct enum_names<gateway::requests::request_end> {
    static constexpr std::array<std::string_view, 7> table{
        "answered", "upstream_failure", "refused", "failed", "timed_out", "cut", "caller_left"};
};

template <>
struct enum_names<gateway::requests::resumed_outcome> {
    static constexpr std::array<std::string_view, 4> table{"found", "no_instance", "unknown",
                                                           "unavailable"};
};

} // namespace jujubemast::common
