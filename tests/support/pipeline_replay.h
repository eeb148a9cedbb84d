#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/random.h"
#include "gateway/stages/piece_queue.h"
#include "gateway/stages/stage_admission.h"
#include "gateway/stages/stage_estimator.h"

namespace jujubemast::tests {

/// A kind of request in a replay, whose stages depend on each other in their order.
struct replay_kind {
    std::string name;
    double per_s = 0;
    common::duration target = std::chrono::seconds{2};
    int priority = 0;
    /// Service and number of pieces of each stage.
    std::vector<std::pair<std::string, std::uint32_t>> stages;
};

struct replay_service {
    std::string name;
    gateway::piece_limits limits;
    std::size_t instances = 1;
};

/// Multiplies the rate of a kind for a time.
struct replay_burst {
    std::string kind;
    common::duration from = common::duration::zero();
    common::duration until = common::duration::zero();
    double factor = 1;
};

struct replay_setup {
    std::vector<replay_service> services;
    std::vector<replay_kind> kinds;
    std::vector<replay_burst> bursts;
    std::size_t gateways = 1;
    common::duration length = std::chrono::seconds{20};
    std::uint64_t seed = 1;
    gateway::stages::pieces_ahead_hook pieces_ahead = gateway::stages::pieces_ahead_by_target;
};

/// What became of the requests of a kind.
struct replay_counts {
    std::size_t asked = 0;
    std::size_t on_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    /// Admitted, but a stage was not made before its deadline.
    std::size_t expired = 0;

    [[nodiscard]] double share_on_time() const {
        return asked == 0 ? 1 : static_cast<double>(on_time) / static_cast<double>(asked);
    }
};

/// Plays a pattern of load on a virtual clock against models of stage services, with the queue, the
/// estimates and the admission of the gateways. Each gateway admits on its own, by backlogs that
/// are reported every 200 ms. The same seed gives the same result.
class pipeline_replay {
public:
    explicit pipeline_replay(replay_setup setup);

    /// Returns the outcome for each kind by its name.
    std::map<std::string, replay_counts> run();

private:
    struct request {
        const replay_kind* kind = nullptr;
        const gateway::route* route = nullptr;
        std::size_t gateway = 0;
        common::time_point arrived;
        gateway::stages::stage_progress progress;
        std::uint32_t stage = 0;
        std::size_t pieces_left = 0;
        common::time_point ordered;
        common::duration estimate = common::duration::zero();
    };

    struct call {
        common::time_point end;
        std::vector<gateway::stages::queued_piece> pieces;
    };

    struct service_state {
        const replay_service* setup = nullptr;
        gateway::stages::piece_queue queue;
        std::vector<call> calls;
        common::time_point next_call;
    };

    void arrive();
    void admit(const replay_kind& kind, const gateway::route& route);
    void order_next_stage(std::uint64_t number);
    void end_calls();
    void start_calls();
    void report();
    [[nodiscard]] gateway::stages::staged_request staged(const request& it) const;

    replay_setup m_setup;
    common::random_hook m_random;
    common::time_point m_now{std::chrono::seconds{100}};
    common::time_point m_begin = m_now;
    common::time_point m_next_report = m_now;
    gateway::configuration m_configuration;
    std::vector<gateway::stages::stage_estimator> m_estimators;
    std::map<std::string, service_state> m_services;
    std::map<std::uint64_t, request> m_requests;
    std::uint64_t m_next_number = 1;
    std::map<std::string, replay_counts> m_counts;
};

} // namespace jujubemast::tests
