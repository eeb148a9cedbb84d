// A sidecar whose link duplicates and reorders messages. The faults are derived from the seed.
#include <list>
#include <memory>

#include <gflags/gflags.h>

#include "common/random.h"
#include "program/daemon.h"
#include "runtime/executor.h"
#include "sidecar/sidecar_settings.h"
#include "sidecar/sidecar_tree.h"

DEFINE_uint64(seed, 1, "seed of the message faults");
DEFINE_uint64(repeat_percent, 20, "percentage of messages that are delivered twice");
DEFINE_uint64(hold_percent, 30, "percentage of messages that are delayed");
DEFINE_uint64(max_hold_ms, 40, "maximum delay of a message, in ms");

namespace {

using namespace jujubemast;

/// Duplicates some messages and delays some copies, so that later messages overtake them.
class message_faults {
public:
    explicit message_faults(const runtime::executor& loop)
        : m_loop{loop}, m_random{common::seeded_random(FLAGS_seed)} {}

    void deliver(const std::string& routing_id, const protocol::message& message,
                 const sidecar::forward_hook& forward) {
        const bool repeated = random_chance(FLAGS_repeat_percent);
        for (int copy = 0; copy < (repeated ? 2 : 1); ++copy) {
            if (!random_chance(FLAGS_hold_percent)) {
                forward(routing_id, message);
                continue;
            }
            const auto delay = 1 + common::uniform_below(m_random, FLAGS_max_hold_ms);
            const auto timer = m_delayed.emplace(m_delayed.end(), m_loop);
            timer->start(std::chrono::milliseconds{delay},
                         [this, timer, routing_id, message, forward] {
                             forward(routing_id, message);
                             m_delayed.erase(timer);
                         });
        }
    }

private:
    bool random_chance(std::uint64_t percent) {
        return common::uniform_below(m_random, 100) < percent;
    }

    runtime::executor m_loop;
    common::random_hook m_random;
    std::list<runtime::timer> m_delayed;
};

std::vector<runtime::child_spec> make_tree(const runtime::executor& loop,
                                           const runtime::process_hooks& process,
                                           const settings::values& values) {
    // Static, because the timers refer to it until the process ends.
    static const auto faults = std::make_unique<message_faults>(loop);
    const sidecar::message_filter filter =
        [](const std::string& routing_id, const protocol::message& message,
           const sidecar::forward_hook& forward) { faults->deliver(routing_id, message, forward); };
    return sidecar::make_sidecar_tree_with_hooks(loop, process, values, {filter, filter});
}

} // namespace

int main(int argc, char** argv) {
    program::run_daemon(argc, argv,
                        {"faulty-sidecar", "a sidecar whose link duplicates and reorders messages",
                         sidecar::sidecar_settings::table, sidecar::sidecar_settings::log_level,
                         make_tree});
}
