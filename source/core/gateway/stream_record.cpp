#include "gateway/stream_record.h"

#include "common/digest.h"

namespace jujubemast::gateway {

std::size_t stream_partition(const stream_id& stream) {
    return common::digest_of(stream.attempt_id) % stream_partitions;
}

} // namespace jujubemast::gateway
