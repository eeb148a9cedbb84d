#pragma once

#include <vector>

#include "runtime/process.h"
#include "settings/settings.h"
#include "sidecar/link.h"

namespace jujubemast::sidecar {

/// Builds the children of the root supervisor of jujubemast-sidecar.
std::vector<runtime::child_spec> make_sidecar_tree(const runtime::executor& loop,
                                                   const runtime::process_hooks& process,
                                                   const settings::values& values);

/// Same as make_sidecar_tree, with hooks between the link's socket and its task for tests of
/// message faults.
std::vector<runtime::child_spec> make_sidecar_tree_with_hooks(const runtime::executor& loop,
                                                              const runtime::process_hooks& process,
                                                              const settings::values& values,
                                                              const link_hooks& hooks);

} // namespace jujubemast::sidecar
