#pragma once

#include <cstddef>

namespace jujubemast::gateway {

/// How much of the memory of an instance may be used for buffers, in bytes. The rest is for
/// connections, the state of requests, and copies that are made for a moment.
struct memory_shares {
    /// Bodies of requests, until their responses are complete.
    std::size_t request_bodies = 0;
    /// Bodies of responses, until they are complete.
    std::size_t response_bodies = 0;
    /// Output that callers have not read.
    std::size_t output = 0;
    /// Headers of requests, and what callers have sent of requests that are not complete.
    std::size_t input = 0;
    /// Output that operators have not read.
    std::size_t admin_output = 0;
    /// Everything that one connection of a caller may hold.
    std::size_t connection = 0;
};

/// Divides the memory of an instance with this many bytes.
memory_shares divide_memory(std::size_t bytes);

/// Returns the memory of the machine in bytes.
std::size_t machine_memory();

} // namespace jujubemast::gateway
