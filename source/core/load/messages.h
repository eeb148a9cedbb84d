#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "load/outcome.h"

namespace jujubemast::load {

/// Result of a readiness check of an entry.
struct entry_readiness {
    std::size_t entry = 0;
    bool ready = false;
};

using sender_message = std::variant<entry_readiness>;

/// Reports a response with wrong content.
struct verification_error {
    std::string text;
};

/// All requests of the run have completed.
struct run_ended {};

using reporter_message = std::variant<request_outcome, verification_error, run_ended>;

} // namespace jujubemast::load
