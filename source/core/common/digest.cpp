#include "common/digest.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace jujubemast::common {

content_digest::content_digest() : m_state{XXH64_createState()} {
    XXH64_reset(static_cast<XXH64_state_t*>(m_state), 0);
}

content_digest::~content_digest() {
    XXH64_freeState(static_cast<XXH64_state_t*>(m_state));
}

content_digest::content_digest(const content_digest& other) : m_state{XXH64_createState()} {
    XXH64_copyState(static_cast<XXH64_state_t*>(m_state),
                    static_cast<const XXH64_state_t*>(other.m_state));
}

content_digest& content_digest::operator=(const content_digest& other) {
    if (this != &other) {
        XXH64_copyState(static_cast<XXH64_state_t*>(m_state),
                        static_cast<const XXH64_state_t*>(other.m_state));
    }
    return *this;
}

void content_digest::update(std::string_view bytes) {
    XXH64_update(static_cast<XXH64_state_t*>(m_state), bytes.data(), bytes.size());
}

std::uint64_t content_digest::value() const {
    return XXH64_digest(static_cast<const XXH64_state_t*>(m_state));
}

std::uint64_t digest_of(std::string_view bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
}

std::string sha256_hex(std::string_view bytes) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), hash.data());
    std::string text;
    text.reserve(hash.size() * 2);
    for (const auto byte : hash) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

bool equal_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace jujubemast::common
