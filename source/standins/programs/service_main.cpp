#include <gflags/gflags.h>

#include "standins/host.h"
#include "standins/plain_service.h"

DEFINE_int64(service_time_us, 5000, "service time of a call, in microseconds");
DEFINE_int64(slots, 8, "maximum number of calls served at the same time");

int main(int argc, char** argv) {
    using namespace jujubemast;
    return standins::run_host(argc, argv, "standin-service", [](auto context, auto inbox) {
        standins::service_behavior behavior;
        behavior.service_time = std::chrono::microseconds{FLAGS_service_time_us};
        behavior.slots = FLAGS_slots;
        return std::make_shared<standins::plain_service>(std::move(context), std::move(inbox),
                                                         behavior);
    });
}
