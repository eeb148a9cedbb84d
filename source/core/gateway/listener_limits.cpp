#include "gateway/listener_limits.h"

#include <algorithm>

#include "gateway/descriptor_shares.h"
#include "gateway/gateway_settings.h"

namespace jujubemast::gateway {

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
// An idle connection takes about 6 KB of the process and as much of the kernel.
constexpr std::size_t memory_per_connection = 32 * kibibyte;

std::size_t allowed_memory(const settings::values& values) {
    constexpr std::size_t bytes_per_megabyte = 1'000'000;
    const auto allowed =
        static_cast<std::size_t>(values.get(gateway_settings::memory_mb)) * bytes_per_megabyte;
    return std::min(allowed, machine_memory());
}

} // namespace

memory_shares shares_of_memory(const settings::values& values) {
    return divide_memory(allowed_memory(values));
}

http::server_limits caller_server_limits(const settings::values& values) {
    const auto memory = shares_of_memory(values);
    const auto descriptors = divide_descriptors(descriptor_limit());
    http::server_limits limits;
    limits.max_header_bytes = 64 * kibibyte;
    limits.max_body_bytes =
        static_cast<std::size_t>(values.get(gateway_settings::callers_max_body_bytes));
    limits.max_connections =
        std::min(descriptors.callers, allowed_memory(values) / memory_per_connection);
    limits.when_full = http::connection_overflow::close_longest_waiting;
    limits.max_refusals = descriptors.refusals;
    limits.request_buffer_bytes = memory.request_bodies;
    // The exchange and the call to the upstream each hold one.
    limits.copies_of_body = 2;
    limits.output_buffer_bytes = memory.output;
    limits.input_buffer_bytes = memory.input;
    limits.max_connection_bytes = memory.connection;
    return limits;
}

http::request_limits limits_of_requests(const http::server_limits& limits,
                                        const configuration_pointer& current) {
    const auto callers = current ? current->limits : caller_limits{};
    return {.max_header_bytes = callers.max_header_bytes.value_or(limits.max_header_bytes),
            .max_body_bytes = callers.max_body_bytes.value_or(limits.max_body_bytes),
            .header_timeout = callers.header_timeout.value_or(limits.read_timeout),
            .idle_timeout = callers.idle_timeout};
}

http::server_limits ready_server_limits() {
    const auto descriptors = divide_descriptors(descriptor_limit());
    http::server_limits limits;
    limits.max_header_bytes = 8 * kibibyte;
    limits.max_body_bytes = 4 * kibibyte;
    limits.max_connections = descriptors.ready;
    limits.when_full = http::connection_overflow::close_longest_waiting;
    limits.max_refusals = descriptors.refusals;
    limits.max_buffered_bytes = 64 * kibibyte;
    limits.request_buffer_bytes = 256 * kibibyte;
    limits.output_buffer_bytes = mebibyte;
    limits.input_buffer_bytes = mebibyte;
    return limits;
}

http::server_limits admin_server_limits(const settings::values& values) {
    const auto descriptors = divide_descriptors(descriptor_limit());
    http::server_limits limits;
    limits.max_body_bytes = 64 * kibibyte;
    limits.max_connections = descriptors.admin;
    limits.when_full = http::connection_overflow::close_longest_waiting;
    limits.max_refusals = descriptors.refusals;
    limits.request_buffer_bytes = mebibyte;
    limits.output_buffer_bytes = shares_of_memory(values).admin_output;
    limits.input_buffer_bytes = mebibyte;
    return limits;
}

} // namespace jujubemast::gateway
