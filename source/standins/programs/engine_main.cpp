#include <gflags/gflags.h>

#include "standins/engine_service.h"
#include "standins/host.h"

DEFINE_int64(step_us, 5000, "time between two steps of the batch, in microseconds");
DEFINE_int64(slots, 8, "maximum number of streams generated at the same time");
DEFINE_bool(checks_fencing, true, "reject orders with an outdated fencing number");

int main(int argc, char** argv) {
    using namespace jujubemast;
    return standins::run_host(argc, argv, "standin-engine", [](auto context, auto inbox) {
        standins::engine_behavior behavior;
        behavior.step_time = std::chrono::microseconds{FLAGS_step_us};
        behavior.slots = FLAGS_slots;
        behavior.checks_fencing = FLAGS_checks_fencing;
        return std::make_shared<standins::engine_service>(std::move(context), std::move(inbox),
                                                          behavior);
    });
}
