#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace jujubemast::common {

/// Source of uniformly distributed 64-bit numbers, replaceable in tests.
using random_hook = std::function<std::uint64_t()>;

/// Returns a generator seeded from the system's entropy source. Not cryptographically secure.
random_hook system_random();

/// Returns a generator with a fixed seed, for repeatable runs.
random_hook seeded_random(std::uint64_t seed);

/// Returns a number in [0, bound); the bound must be positive.
std::uint64_t uniform_below(const random_hook& random, std::uint64_t bound);

/// Returns a 128-bit identifier as 32 hexadecimal digits.
std::string random_identifier(const random_hook& random);

} // namespace jujubemast::common
