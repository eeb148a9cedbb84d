#pragma once

#include "load/outcome.h"

namespace jujubemast::load {

/// Main function of the load generator. `verify` is an additional check of the responses, applied
/// after the consistency check, and may be empty. Returns the exit code.
int run_load_program(int argc, char** argv, const verify_hook& verify);

} // namespace jujubemast::load
