#include "standins/host.h"
#include "standins/platform_service.h"

int main(int argc, char** argv) {
    using namespace jujubemast;
    return standins::run_host(argc, argv, "standin-platform", [](auto context, auto inbox) {
        return std::make_shared<standins::platform_service>(std::move(context), std::move(inbox));
    });
}
