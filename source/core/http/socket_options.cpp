#include "http/socket_options.h"

#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jujubemast::http {

namespace {

constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 3;
// Closes a connection whose sent bytes stay unacknowledged for this time, which probes alone do not
// detect.
constexpr int user_timeout_ms = 4000;

} // namespace

void set_socket_options(boost::asio::ip::tcp::socket& socket) {
    const int descriptor = socket.native_handle();
    const auto set = [descriptor](int level, int option, int value) {
        ::setsockopt(descriptor, level, option, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

bool is_idle(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<common::duration> parse_keep_alive_timeout(std::string_view field) {
    constexpr std::string_view name = "timeout=";
    const auto pos = field.find(name);
    if (pos == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = field.substr(pos + name.size());
    unsigned seconds = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (result.ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
}

} // namespace jujubemast::http
