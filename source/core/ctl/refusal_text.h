#pragma once

#include <string>

#include <boost/json/object.hpp>

#include "tickets/change.h"

namespace jujubemast::ctl {

/// Returns the summary followed by the reasons, one per line.
std::string refusal_text(const std::string& summary, const tickets::change_refusal& refusal);

/// Returns the reasons as a JSON object.
boost::json::object refusal_data(const tickets::change_refusal& refusal);

} // namespace jujubemast::ctl
