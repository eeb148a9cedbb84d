#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/configuration.h"

namespace jujubemast::gateway {

/// How far the stages of one request are. Tells which stage may begin, which results are its
/// inputs, and which results nothing needs any more.
class stage_progress {
public:
    stage_progress() = default;

    /// `counts` holds the number of pieces of each stage; a stage without pieces is left out.
    stage_progress(const std::vector<stage_spec>& stages, const std::vector<std::uint32_t>& counts);

    /// Whether a stage that could be ordered is better ordered later.
    using defer_hook = std::function<bool(std::uint32_t stage)>;

    /// Stages that can be ordered now. Each is returned once.
    std::vector<std::uint32_t> take_ready(const defer_hook& defer);

    /// Results of all pieces of the stages that this one needs.
    [[nodiscard]] std::vector<std::string> inputs_of(std::uint32_t stage) const;

    [[nodiscard]] std::uint32_t count_of(std::uint32_t stage) const;

    void complete(std::uint32_t stage, std::vector<std::string> handles);

    /// All stages are made.
    [[nodiscard]] bool done() const;

    /// Results of the stages that no other stage follows: the inputs of the request itself.
    [[nodiscard]] std::vector<std::string> final_inputs() const;

    /// Results of one stage that nothing reads any more.
    struct releasable_results {
        std::string service;
        std::vector<std::string> handles;
    };

    /// Takes the results whose readers are all complete; with `all`, every result that is left.
    std::vector<releasable_results> take_releasable(bool all);

    /// Time that a stage takes when it is ordered after this delay.
    using duration_hook = std::function<common::duration(std::uint32_t n, common::duration start)>;

    /// Time until all stages that follow this one are made, when it is made after this delay;
    /// without one, until all stages are.
    [[nodiscard]] common::duration critical_path_end(std::optional<std::uint32_t> after,
                                                     common::duration start,
                                                     const duration_hook& duration_of) const;

    /// Whether a stage that no other follows can be ordered later without delay to the request,
    /// when that has this much time to spare: the others need longer after their next step than
    /// this stage alone.
    [[nodiscard]] bool can_defer(std::uint32_t stage, common::duration spare,
                                 const duration_hook& duration_of) const;

    /// The service whose results are the inputs of this stage, if no other stage reads them and
    /// they come from one stage only; empty otherwise.
    [[nodiscard]] std::string sole_input_service(std::uint32_t stage) const;

    /// No other stage reads the results of this one.
    [[nodiscard]] bool is_last(std::uint32_t stage) const { return !has_dependent(stage); }

    /// Forgets what was made, so that all stages are made again.
    void restart();

private:
    enum class phase { waiting, ordered, made };

    struct stage_state {
        std::string service;
        std::vector<std::size_t> dependencies;
        std::uint32_t count = 0;
        phase state = phase::waiting;
        std::vector<std::string> handles;
    };

    [[nodiscard]] bool inputs_made(const stage_state& of) const;
    [[nodiscard]] bool has_dependent(std::size_t stage) const;
    [[nodiscard]] bool dependents_made(std::size_t stage) const;

    std::vector<stage_state> m_stages;
};

} // namespace jujubemast::gateway
