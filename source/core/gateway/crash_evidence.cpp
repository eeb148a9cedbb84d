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

} // namespace jujubemast::gateway
