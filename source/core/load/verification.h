#pragma once

#include "load/outcome.h"

namespace jujubemast::load {

/// Returns the check that needs no knowledge of the upstreams: every request id appears once, the
/// answer names each stage of the pipeline once, and equal requests get equal output. Keeps a
/// digest of each id and each different request.
verify_hook make_consistency_check();

/// Returns a check that passes an answer only when both do.
verify_hook combine(verify_hook first, verify_hook second);

} // namespace jujubemast::load
