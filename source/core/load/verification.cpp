#include "load/verification.h"

#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "common/digest.h"

namespace jujubemast::load {

namespace {

class consistency_check {
public:
    std::string operator()(const planned_request& request, const answer_content& answer) {
        if (answer.request_id.empty()) {
            return "the answer has no request id";
        }
        if (!m_ids.insert(common::digest_of(answer.request_id)).second) {
            return "two answers have the request id " + answer.request_id;
        }
        if (answer.stages.size() != request.pipeline->operations.size()) {
            return "the answer has " + std::to_string(answer.stages.size()) +
                   " stages instead of " + std::to_string(request.pipeline->operations.size());
        }
        const auto key = common::digest_of(request.pipeline->name + '\0' + request.input + '\0' +
                                           std::to_string(request.max_tokens));
        const auto [known, added] = m_outputs.emplace(key, common::digest_of(answer.output));
        if (!added && known->second != common::digest_of(answer.output)) {
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

verify_hook both(verify_hook first, verify_hook second) {
    return [first = std::move(first), second = std::move(second)](const planned_request& request,
                                                                  const answer_content& answer) {
        auto complaint = first(request, answer);
        return complaint.empty() ? second(request, answer) : complaint;
    };
}

} // namespace jujubemast::load
