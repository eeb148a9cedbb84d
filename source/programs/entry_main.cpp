#include "entry/entry_settings.h"
#include "entry/entry_tree.h"
#include "program/daemon.h"

int main(int argc, char** argv) {
    using namespace jujubemast;
    program::run_daemon(
        argc, argv,
        {"jujubemast-entry", "accepts requests and runs them through the stages of a pipeline",
         entry::entry_settings::table, entry::entry_settings::log_level, entry::make_entry_tree});
}
