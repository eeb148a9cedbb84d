#include "tickets/snapshot.h"

#include <boost/json.hpp>

#include "common/error.h"

namespace jujubemast::tickets {

namespace {

object_states parse_document(const std::string& document) {
    boost::system::error_code ec;
    const auto value = boost::json::parse(document, ec);
    if (ec || !value.is_object()) {
        throw common::format_error{"the configuration document is not a JSON object"};
    }
    object_states objects;
    for (const auto& it : value.as_object()) {
        objects.emplace(it.key(), it.value());
    }
    return objects;
}

} // namespace

snapshot_pointer make_snapshot(std::uint64_t revision, const object_states& objects) {
    boost::json::object document;
    for (const auto& [name, state] : objects) {
        document[name] = state;
    }
    return std::make_shared<const snapshot>(
        snapshot{std::make_shared<const configuration>(parse_configuration(revision, objects)),
                 boost::json::serialize(document)});
}

snapshot_pointer parse_snapshot(std::uint64_t revision, std::uint64_t digest,
                                const std::string& document) {
    const auto objects = parse_document(document);
    if (digest_of(objects) != digest) {
        throw common::format_error{"the digest of the configuration document does not match"};
    }
    return make_snapshot(revision, objects);
}

} // namespace jujubemast::tickets
