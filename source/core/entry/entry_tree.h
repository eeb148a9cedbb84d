#pragma once

#include <vector>

#include "runtime/process.h"
#include "settings/settings.h"

namespace jujubemast::entry {

/// Builds the children of the root supervisor of jujubemast-entry.
std::vector<runtime::child_spec> make_entry_tree(const runtime::executor& loop,
                                                 const runtime::process_hooks& process,
                                                 const settings::values& values);

} // namespace jujubemast::entry
