#include "gateway/store/row_digest.h"

#include "common/digest.h"

namespace jujubemast::gateway::store {

namespace {

constexpr char separator = '\n';

} // namespace

std::uint64_t row_digest(const configuration& content) {
    // The content of a version never changes.
    return common::digest_of(std::to_string(content.version));
}

std::uint64_t undecoded_row_digest(const store_row& row) {
    return common::digest_of(row.value.value_or(""));
}

std::uint64_t versioned_row_digest(const store_row& row) {
    return common::digest_of(std::to_string(row.version) + separator + row.value.value_or(""));
}

std::uint64_t row_digest(const upstream_instance& content) {
    return common::digest_of(content.id + separator + std::to_string(content.started_ms) +
                             separator + content.service + separator +
                             http::to_string(content.address) + separator + content.failure_domain +
                             separator + std::to_string(content.slots) + separator +
                             std::string{common::to_name(content.phase)} +
                             // Instances that are not cold have the digest of earlier releases.
                             (content.cold_until ? "\ncold" : ""));
}

std::uint64_t row_digest(const gateway_record& content) {
    return common::digest_of(content.name + separator + content.address + separator +
                             std::to_string(content.incarnation) + separator +
                             std::to_string(content.processor_share) + separator +
                             content.failure_domain);
}

} // namespace jujubemast::gateway::store
