#pragma once

#include <memory>
#include <vector>

#include "gateway/adapter.h"
#include "runtime/process.h"
#include "settings/settings.h"

namespace jujubemast::gateway {

/// Builds the supervisor tree of jujubemast-gateway for a platform.
std::vector<runtime::child_spec>
make_gateway_tree(const runtime::executor& loop, const runtime::process_hooks& process,
                  const settings::values& values,
                  const std::shared_ptr<const adapter>& platform_adapter);

} // namespace jujubemast::gateway
