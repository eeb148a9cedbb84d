#pragma once

#include "load/outcome.h"

namespace jujubemast::load {

/// Returns a check that works with any upstreams: each request id occurs only once, the response
/// has as many stages as the pipeline, and equal requests get equal output. It stores a digest of
/// each request id and of each different request.
verify_hook make_consistency_check();

/// Returns a check that accepts a response only if both checks do.
verify_hook combine(verify_hook first, verify_hook second);

} // namespace jujubemast::load
