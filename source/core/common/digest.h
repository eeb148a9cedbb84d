#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubemast::common {

/// Incremental 64-bit content digest (XXH64) that detects lost or misplaced chunks. Not
/// cryptographically secure.
class content_digest {
public:
    content_digest();
    ~content_digest();
    content_digest(const content_digest& other);
    content_digest& operator=(const content_digest& other);

    void update(std::string_view bytes);

    [[nodiscard]] std::uint64_t value() const;

private:
    // XXH64_state_t*, untyped so that this header does not include that of the library.
    void* m_state;
};

/// Returns the XXH64 digest of the bytes.
std::uint64_t digest_of(std::string_view bytes);

/// Returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

/// Compares two strings in a time that depends on their lengths only.
bool equal_constant_time(std::string_view left, std::string_view right);

} // namespace jujubemast::common
