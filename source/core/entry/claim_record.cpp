#include "entry/claim_record.h"

#include <boost/json.hpp>

#include "common/digest.h"

namespace jujubemast::entry {

boost::json::value to_json(const claim_record& record) {
    return boost::json::object{{"digest", record.digest},
                               {"token", record.token},
                               {"state", common::to_name(record.outcome.state)},
                               {"deadline_ms", record.deadline_ms},
                               {"expiry_ms", record.expiry_ms},
                               {"status", record.outcome.status},
                               {"document", record.outcome.document}};
}

std::optional<claim_record> claim_from_json(const boost::json::value& value) {
    try {
        const auto& object = value.as_object();
        const auto text = [&](std::string_view key) {
            return std::string{object.at(key).as_string()};
        };
        const auto state = common::from_name<claim_state>(text("state"));
        if (!state) {
            return std::nullopt;
        }
        return claim_record{text("digest"),
                            text("token"),
                            object.at("deadline_ms").to_number<std::int64_t>(),
                            object.at("expiry_ms").to_number<std::int64_t>(),
                            {*state, object.at("status").to_number<unsigned>(), text("document")}};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string claim_row_key(const std::string& workspace, const std::string& key) {
    // The row key is a hash because a workspace or an idempotency key may contain separators.
    return common::sha256_hex(workspace + '\n' + key);
}

} // namespace jujubemast::entry
