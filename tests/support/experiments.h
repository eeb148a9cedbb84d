#pragma once

#include <string>

namespace jujubemast::tests {

/// Returns a small experiment file with two traffic classes and two phases.
std::string small_experiment();

} // namespace jujubemast::tests
