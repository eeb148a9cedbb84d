#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/caller_request.h"
#include "gateway/upstream_list.h"

namespace jujubemast::gateway {

/// Digest of the id of a part of a prompt.
using prompt_part_id = std::uint64_t;

/// Parts of one request that count. Callers choose how many a request has.
constexpr std::size_t max_shared_parts = 64;
/// Parts in the report of one crash, which may come from several requests.
constexpr std::size_t max_report_parts = 1024;
/// Reports of one kind that are read from a message.
constexpr std::size_t max_reports = 4096;

/// Returns the parts that other requests may share: all but the last one, and the first
/// `max_shared_parts` at most.
std::vector<prompt_part_id> shared_parts_of(const std::vector<prompt_part>& prompt);

/// Returns the ids in hexadecimal, separated by commas.
std::string to_text(const std::vector<prompt_part_id>& parts);

/// An instance broke its connections. `parts` are those of the requests that it had not begun to
/// write, or only just.
struct crash_report {
    incarnation instance;
    std::vector<prompt_part_id> parts;
    common::time_point at;

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// An answer on this part, which began at this time, went on.
struct sound_report {
    prompt_part_id part = 0;
    common::time_point began;

    friend bool operator==(const sound_report&, const sound_report&) = default;
};

/// The instance has answered a request that was sent to it at this time.
struct alive_report {
    incarnation instance;
    common::time_point sent;

    friend bool operator==(const alive_report&, const alive_report&) = default;
};

/// A request with this quarantined part is being tried.
struct trial_report {
    prompt_part_id part = 0;
    common::time_point at;

    friend bool operator==(const trial_report&, const trial_report&) = default;
};

/// The quarantine of a part, for a gateway that has just started or was out of reach.
struct quarantine_report {
    prompt_part_id part = 0;
    std::uint32_t failed_trials = 0;
    common::time_point trial_due;
    /// Time of the latest crash that speaks for the quarantine.
    common::time_point last_crash;

    friend bool operator==(const quarantine_report&, const quarantine_report&) = default;
};

/// What a gateway has seen of instances that crash, and of parts of prompts that may cause it.
struct crash_evidence {
    /// The gateway that it is for. Empty means all of them.
    std::string receiver;
    std::vector<crash_report> crashes;
    std::vector<sound_report> sound;
    std::vector<alive_report> alive;
    std::vector<trial_report> trials;
    std::vector<quarantine_report> quarantines;

    /// Adds other evidence. Reports of one crash become one, with `max_report_parts` at most.
    void add(const crash_evidence& other);

    /// Divides the evidence into parts of at most `weight`, in the order in which it is applied:
    /// what dismisses crashes first. A report weighs one, and another one for each part of a
    /// prompt.
    [[nodiscard]] std::vector<crash_evidence> divide(std::size_t weight) const;

    [[nodiscard]] bool empty() const {
        return crashes.empty() && sound.empty() && alive.empty() && trials.empty() &&
               quarantines.empty();
    }
};

} // namespace jujubemast::gateway
