#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "load/outcome.h"

namespace jujubemast::load {

/// The result of a health check of an entry.
struct entry_readiness {
    std::size_t entry = 0;
    bool ready = false;
};

using sender_message = std::variant<entry_readiness>;

/// An answer whose content is wrong.
struct verification_error {
    std::string text;
};

/// All requests of the run have ended.
struct run_ended {};

using reporter_message = std::variant<request_outcome, verification_error, run_ended>;

} // namespace jujubemast::load
