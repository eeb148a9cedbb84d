#include "http/socket_options.h"

#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jujubemast::http {

namespace {

constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 3;
// Unacknowledged bytes end the connection after this time, which probes alone do not.
constexpr int unacknowledged_ms = 4000;

} // namespace

void prepare_socket(boost::asio::ip::tcp::socket& socket) {
    const int handle = socket.native_handle();
    const auto set = [handle](int level, int option, int value) {
        ::setsockopt(handle, level, option, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, probe_idle_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
}

bool is_quiet(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<common::duration> keep_alive_timeout(std::string_view field) {
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
