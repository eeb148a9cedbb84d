#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "common/enum_names.h"

namespace jujubemast::gateway {

/// What a gateway knows of the list of software versions of a service.
struct usable_versions {
    /// The versions that may begin streams.
    std::set<std::string> versions;
    /// Whether the list names every version that has begun a stream which can be resumed. Until
    /// then each stream is recorded.
    bool is_complete = false;

    friend bool operator==(const usable_versions&, const usable_versions&) = default;
};

/// Identifies a stream that may be resumed: the attempt of the caller that brought its first event,
/// and the service whose instances write it. What two software versions of a service write does not
/// fit together, so a stream goes on only at the version that began it.
struct stream_id {
    std::string service;
    std::string attempt_id;

    friend auto operator<=>(const stream_id&, const stream_id&) = default;
};

/// The row of a stream in the store: the software version that began it. Never changes.
struct stream_record {
    stream_id stream;
    std::string version;
    /// When it was recorded, in ms of the store's clock. Zero if unknown.
    std::int64_t recorded_ms = 0;

    friend bool operator==(const stream_record&, const stream_record&) = default;
};

/// The row of a service in the store: all software versions that may have begun a stream within the
/// retention time. A version is listed before its first stream begins. While several are listed,
/// each stream is recorded before its first event reaches the caller.
struct listed_versions {
    std::set<std::string> versions;
    /// Era of the store in which the row was written. A row of an earlier era may lack versions,
    /// because the store was restored from an older copy.
    std::uint64_t era = 0;
    /// The list is complete for streams that began later, in ms of the store's clock.
    std::int64_t complete_since_ms = 0;

    friend bool operator==(const listed_versions&, const listed_versions&) = default;
};

/// The partition of the store that holds the row of a stream. A write covers one partition, and
/// each performs a limited number of writes in a second.
std::size_t stream_partition(const stream_id& stream);

/// Number of values that `stream_partition` returns.
inline constexpr std::size_t stream_partitions = 16;

/// Result of recording a stream.
enum class record_outcome {
    recorded,
    /// The store did not confirm the row in time. It may be written later.
    unavailable
};

/// Result of looking up the software version that began a stream.
enum class find_outcome {
    found,
    /// Nothing shows which version began the stream.
    unknown,
    /// The store did not respond in time.
    unavailable
};

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::record_outcome> {
    static constexpr std::array<std::string_view, 2> table{"recorded", "unavailable"};
};

template <>
struct enum_names<gateway::find_outcome> {
    static constexpr std::array<std::string_view, 3> table{"found", "unknown", "unavailable"};
};

} // namespace jujubemast::common
