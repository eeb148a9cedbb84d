#include "gateway/crash_evidence.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "common/digest.h"

namespace jujubemast::gateway {

std::vector<prompt_part_id> shared_parts_of(const std::vector<prompt_part>& prompt) {
    std::vector<prompt_part_id> parts;
    for (std::size_t n = 0; n + 1 < prompt.size() && n < max_shared_parts; ++n) {
        parts.push_back(common::digest_of(prompt[n].id));
    }
    return parts;
}

std::string to_text(const std::vector<prompt_part_id>& parts) {
    std::string text;
    for (const auto part : parts) {
        std::array<char, 17> digits{};
        std::snprintf(digits.data(), digits.size(), "%016llx",
                      static_cast<unsigned long long>(part));
        text += text.empty() ? "" : ",";
        text += digits.data();
    }
    return text;
}

void crash_evidence::add(const crash_evidence& other) {
    for (const auto& it : other.crashes) {
        const auto known =
            std::find_if(crashes.begin(), crashes.end(),
                         [&](const crash_report& one) { return one.instance == it.instance; });
        if (known == crashes.end()) {
            crashes.push_back(it);
            continue;
        }
        known->at = std::max(known->at, it.at);
        for (const auto part : it.parts) {
            if (known->parts.size() >= max_report_parts) {
                break;
            }
            if (std::find(known->parts.begin(), known->parts.end(), part) == known->parts.end()) {
                known->parts.push_back(part);
            }
        }
    }
    const auto append = [](auto& to, const auto& from) {
        to.insert(to.end(), from.begin(), from.end());
    };
    append(sound, other.sound);
    append(alive, other.alive);
    append(trials, other.trials);
    append(quarantines, other.quarantines);
}

std::vector<crash_evidence> crash_evidence::divide(std::size_t weight) const {
    std::vector<crash_evidence> result;
    std::size_t used = weight;
    const auto distribute = [&](const auto& reports, auto member, auto weight_of) {
        for (const auto& it : reports) {
            const auto added = weight_of(it);
            if (used + added > weight) {
                result.emplace_back().receiver = receiver;
                used = 0;
            }
            used += added;
            (result.back().*member).push_back(it);
        }
    };
    const auto one = [](const auto& /*report*/) { return std::size_t{1}; };
    distribute(alive, &crash_evidence::alive, one);
    distribute(sound, &crash_evidence::sound, one);
    distribute(quarantines, &crash_evidence::quarantines, one);
    distribute(crashes, &crash_evidence::crashes,
               [](const crash_report& it) { return 1 + it.parts.size(); });
    distribute(trials, &crash_evidence::trials, one);
    return result;
}

} // namespace jujubemast::gateway
