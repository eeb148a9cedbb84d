#pragma once

#include "load/outcome.h"

namespace jujubemast::load {

/// The main function of the measuring client. The check of answers is added to the consistency
/// check and may be empty. Returns the exit code.
int run_load_program(int argc, char** argv, const verify_hook& verify);

} // namespace jujubemast::load
