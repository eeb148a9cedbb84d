// Uses the admission queue of the sidecar, with floors per priority and fair shares per workspace.
#include <iostream>

#include "policy/fair_queue.h"

int main() {
    using namespace jujubemast;
    using std::chrono::milliseconds;

    policy::fair_queue_limits limits;
    limits.max_count = 3;
    const policy::capacity_shares shares{{0.3, 0.3, 0.1},
                                         {{"cooperative", 1.0}, {"trustees", 1.0}}};
    const auto queue = policy::make_fair_queue(limits, shares);

    const auto deadline = common::monotonic_clock::now() + milliseconds{500};
    queue.push({1, "trustees", common::priority::standard, deadline, milliseconds{40}});
    queue.push({2, "trustees", common::priority::standard, deadline, milliseconds{40}});
    queue.push({3, "cooperative", common::priority::standard, deadline, milliseconds{40}});
    for (const auto id :
         queue.push({4, "cooperative", common::priority::urgent, deadline, milliseconds{10}})) {
        std::cout << "refused " << id << "\n";
    }
    while (const auto work = queue.pop(common::monotonic_clock::now())) {
        std::cout << "serves " << work->id << " of " << work->workspace << "\n";
    }
}
