#include "common/random.h"

#include <array>
#include <cstddef>
#include <random>

namespace jujubemast::common {

namespace {

std::string to_hexadecimal(std::uint64_t value) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t n = 16; n > 0; --n) {
        text[n - 1] = digits[value & 0xfU];
        value >>= 4U;
    }
    return text;
}

} // namespace

random_hook system_random() {
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device());
    return seeded_random((high << 32U) | device());
}

random_hook seeded_random(std::uint64_t seed) {
    return [engine = std::mt19937_64{seed}]() mutable { return engine(); };
}

std::uint64_t uniform_below(const random_hook& random, std::uint64_t bound) {
    // The modulo bias is below 2^-32 for the bounds used here (under 2^32).
    return random() % bound;
}

std::string random_identifier(const random_hook& random) {
    return to_hexadecimal(random()) + to_hexadecimal(random());
}

} // namespace jujubemast::common
