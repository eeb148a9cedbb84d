#pragma once

#include <string>

#include <boost/json/object.hpp>

#include "tickets/change.h"

namespace jujubemast::ctl {

/// Returns the summary followed by every reason on a line of its own.
std::string refusal_text(const std::string& summary, const tickets::change_refusal& refusal);

boost::json::object refusal_data(const tickets::change_refusal& refusal);

} // namespace jujubemast::ctl
