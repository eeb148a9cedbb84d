#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/configuration.h"

namespace jujubemast::gateway::stages {

/// Progress of the stages of one request. Determines which stages can be ordered, which results are
/// their inputs, and which results are no longer needed. Stages that the request omits have no part
/// in this: they provide no inputs, and nothing is made for them.
class stage_progress {
public:
    stage_progress() = default;

    /// `counts` holds the number of pieces of each stage, as `check_piece_counts` allows it. The
    /// stages may be listed in any order, but must not depend on each other in a cycle.
    stage_progress(const std::vector<stage_spec>& stages, const std::vector<std::uint32_t>& counts);

    /// Whether a stage that could be ordered now should be ordered later.
    using defer_hook = std::function<bool(std::uint32_t stage)>;

    /// Returns the stages that can be ordered now and marks them as ordered.
    std::vector<std::uint32_t> take_ready(const defer_hook& defer);

    /// Returns the results of all pieces of the stages that this one depends on. Empty only for a
    /// stage that depends on none.
    [[nodiscard]] std::vector<std::string> inputs_of(std::uint32_t stage) const;

    [[nodiscard]] std::uint32_t count_of(std::uint32_t stage) const;

    /// Returns the results of this stage that are not released yet.
    [[nodiscard]] const std::vector<std::string>& results_of(std::uint32_t stage) const {
        return m_stages[stage].handles;
    }

    void complete(std::uint32_t stage, std::vector<std::string> handles);

    /// Whether all stages are complete.
    [[nodiscard]] bool done() const;

    /// Returns the results of the stages without dependents, which are the inputs of the request
    /// itself.
    [[nodiscard]] std::vector<std::string> final_inputs() const;

    /// Results of one stage that are no longer needed.
    struct releasable_results {
        std::string service;
        std::vector<std::string> handles;
    };

    /// Takes the results whose readers are all complete, or all remaining results if `all` is set.
    std::vector<releasable_results> take_releasable(bool all);

    /// Returns the time that a stage takes if it is ordered after the delay `start`.
    using duration_hook = std::function<common::duration(std::uint32_t n, common::duration start)>;

    /// Returns the end of the critical path through the stages that depend on `after`, which
    /// completes at `start`. Without `after` the path covers all stages.
    [[nodiscard]] common::duration critical_path_end(std::optional<std::uint32_t> after,
                                                     common::duration start,
                                                     const duration_hook& duration_of) const;

    /// Whether a stage without dependents can be deferred without delaying the request, which has
    /// this much spare time. This is so if the stage takes less time than the stages that remain
    /// after the next completion, plus half of the spare time.
    [[nodiscard]] bool can_defer(std::uint32_t stage, common::duration spare,
                                 const duration_hook& duration_of) const;

    /// Returns the service that provides the inputs of this stage if they come from one stage only
    /// and no other stage reads them. Returns an empty string otherwise.
    [[nodiscard]] std::string sole_input_service(std::uint32_t stage) const;

    /// Whether no other stage reads the results of this one.
    [[nodiscard]] bool is_last(std::uint32_t stage) const { return !has_dependent(stage); }

    /// Discards all results, so that all stages run again.
    void restart();

private:
    enum class phase { waiting, ordered, made };

    struct stage_state {
        std::string service;
        /// Without the stages that the request omits.
        std::vector<std::size_t> dependencies;
        std::uint32_t count = 0;
        phase state = phase::waiting;
        std::vector<std::string> handles;
    };

    /// When each stage of a path is complete. Empty for stages that are on no path.
    using completion_times = std::vector<std::optional<common::duration>>;

    /// Returns when the last of the stages that this one depends on is complete, or nothing if none
    /// of them is on a path.
    [[nodiscard]] std::optional<common::duration>
    last_completion(std::size_t stage, const completion_times& completions) const;
    [[nodiscard]] bool inputs_made(const stage_state& of) const;
    [[nodiscard]] bool has_dependent(std::size_t stage) const;
    [[nodiscard]] bool dependents_made(std::size_t stage) const;

    std::vector<stage_state> m_stages;
    /// Positions of the stages, each after those that it depends on.
    std::vector<std::size_t> m_order;
};

} // namespace jujubemast::gateway::stages
