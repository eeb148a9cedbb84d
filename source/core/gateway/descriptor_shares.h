#pragma once

#include <cstddef>

namespace jujubemast::gateway {

/// How many connections clients may open, as shares of the descriptors of the process. The rest is
/// for connections to instances, the store and other gateways.
struct descriptor_shares {
    std::size_t callers = 0;
    std::size_t ready = 0;
    std::size_t admin = 0;
    /// Connections beyond one of these limits that are sent a refusal, for each listener.
    std::size_t refusals = 0;
};

/// Divides the descriptors that a process may open.
descriptor_shares divide_descriptors(std::size_t limit);

/// Returns how many descriptors this process may open.
std::size_t descriptor_limit();

} // namespace jujubemast::gateway
