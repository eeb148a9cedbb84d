#include "load/verification.h"

#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "common/digest.h"

namespace jujubemast::load {

namespace {

class consistency_check {
public:
    std::string operator()(const planned_request& request, const response_content& response) {
        if (response.request_id.empty()) {
            return "the response has no request id";
        }
        if (!m_ids.insert(common::digest_of(response.request_id)).second) {
            return "two responses have the request id " + response.request_id;
        }
        if (response.stages.size() != request.pipeline->operations.size()) {
            return "the response has " + std::to_string(response.stages.size()) +
                   " stages instead of " + std::to_string(request.pipeline->operations.size());
        }
        const auto key = common::digest_of(request.pipeline->name + '\0' + request.input + '\0' +
                                           std::to_string(request.max_tokens));
        const auto [known, added] = m_outputs.emplace(key, common::digest_of(response.output));
        if (!added && known->second != common::digest_of(response.output)) {
            return "equal requests got different output";
        }
        return {};
    }

private:
    std::unordered_set<std::uint64_t> m_ids;
    std::unordered_map<std::uint64_t, std::uint64_t> m_outputs;
};

} // namespace

verify_hook make_consistency_check() {
    return consistency_check{};
}

verify_hook combine(verify_hook first, verify_hook second) {
    return [first = std::move(first), second = std::move(second)](
               const planned_request& request, const response_content& response) {
        auto error = first(request, response);
        return error.empty() ? second(request, response) : error;
    };
}

} // namespace jujubemast::load
