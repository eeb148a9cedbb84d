#pragma once

#include <vector>

#include "runtime/process.h"
#include "settings/settings.h"

namespace jujubemast::sidecar {

/// Builds the children of the root supervisor of jujubemast-sidecar.
std::vector<runtime::child_spec> make_sidecar_tree(const runtime::executor& loop,
                                                   const runtime::process_hooks& process,
                                                   const settings::values& values);

} // namespace jujubemast::sidecar
