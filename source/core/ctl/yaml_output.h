#pragma once

#include <string>

#include <boost/json/fwd.hpp>

namespace jujubemast::ctl {

/// Returns the value as YAML, for people to read.
std::string to_yaml(const boost::json::value& value);

} // namespace jujubemast::ctl
