#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace jujubemast::policy {

/// The position of one process among those that share the limits of the upstreams.
struct share_holder {
    /// From 0 to `count - 1`, different for each process.
    std::size_t rank = 0;
    std::size_t count = 1;
};

/// Share of a limit that is divided. The rest covers connections that the upstream has not yet seen
/// closing, and processes that do not yet agree on how many they are.
inline constexpr double divided_share = 0.8;

/// Divides a limit that each instance of a pool applies to all processes together, for example on
/// its connections. Returns how many permits this process has at each instance, in the order of the
/// instances.
///
/// Every process gets the same number of permits over the whole pool, at least one. If the limit is
/// smaller than the number of processes, a process has permits at some of the instances only. The
/// permits of all processes at one instance stay within the divided share of the limit, unless
/// there are more processes than permits. No messages are needed: processes that know the same
/// names agree.
std::vector<std::size_t> divide_limit(std::size_t limit, std::size_t instances,
                                      const share_holder& holder);

/// Returns the position of a process among all that are known. The order depends on the pool, so
/// that the remainders of different pools go to different processes. A process that is not in the
/// list is added to it.
share_holder find_share(const std::string& pool, const std::string& name,
                        const std::vector<std::string>& known);

} // namespace jujubemast::policy
