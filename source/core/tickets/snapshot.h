#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "tickets/configuration.h"

namespace jujubemast::tickets {

/// The configuration at one revision and the document that other processes can fetch. Immutable.
struct snapshot {
    configuration_pointer content;
    /// The states of all objects as one JSON object.
    std::string document;

    [[nodiscard]] std::uint64_t revision() const { return content->revision; }
    [[nodiscard]] std::uint64_t digest() const { return content->digest; }
};

using snapshot_pointer = std::shared_ptr<const snapshot>;

/// Builds a snapshot from the states of all objects. Throws a `common::format_error` that lists
/// every error.
snapshot_pointer make_snapshot(std::uint64_t revision, const object_states& objects);

/// Builds a snapshot from a document of another process. Throws `common::format_error` if the
/// document is invalid or its digest does not match.
snapshot_pointer parse_snapshot(std::uint64_t revision, std::uint64_t digest,
                                const std::string& document);

} // namespace jujubemast::tickets
