#include "program/daemon.h"
#include "sidecar/sidecar_settings.h"
#include "sidecar/sidecar_tree.h"

int main(int argc, char** argv) {
    using namespace jujubemast;
    program::run_daemon(argc, argv,
                        {"jujubemast-sidecar", "queues work and runs it at the upstream next to it",
                         sidecar::sidecar_settings::table, sidecar::sidecar_settings::log_level,
                         sidecar::make_sidecar_tree});
}
