#pragma once

#include <string>

#include <boost/json/fwd.hpp>

namespace jujubemast::ctl {

/// Formats the value as YAML for human readers.
std::string to_yaml(const boost::json::value& value);

} // namespace jujubemast::ctl
