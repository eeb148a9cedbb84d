#include <atomic>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "support/event_loop.h"

namespace jujubemast::tests {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// A server that responds as soon as the first bytes of a request have arrived, and then resets the
/// connection while the client is still writing.
class early_server {
public:
    explicit early_server(std::string response)
        : m_response{std::move(response)}, m_thread{[this] { serve(); }} {}
    early_server(const early_server&) = delete;
    early_server& operator=(const early_server&) = delete;
    ~early_server() { m_thread.join(); }

    [[nodiscard]] http::endpoint address() const {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void serve() {
        auto connection = m_acceptor.accept();
        std::array<char, 100> first_bytes{};
        boost::asio::read(connection, boost::asio::buffer(first_bytes));
        boost::asio::write(connection, boost::asio::buffer(m_response));
        connection.set_option(boost::asio::socket_base::linger{true, 0});
        connection.close();
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::string m_response;
    std::thread m_thread;
};

struct early_response_fixture {
    // More than the buffers of both sockets hold.
    static constexpr std::size_t upload_bytes = std::size_t{32} * 1024 * 1024;

    event_loop loop;
    std::shared_ptr<runtime::task_lifecycle> lifecycle = make_lifecycle("test");

    /// Makes a call with a long body to a server that sends these bytes early.
    http::call_result upload(const std::string& response) {
        early_server server{response};
        http::client client{loop.context(lifecycle),
                            server.address(),
                            {.head_timeout = 5s, .progress_timeout = 5s}};
        std::optional<http::call_result> result;
        client.send({"POST", "/", {}, std::string(upload_bytes, 'x')},
                    [&](http::call_result it) { result = std::move(it); }, {.idempotent = false});
        BOOST_REQUIRE(loop.run_until([&] { return result.has_value(); }));
        return *result;
    }
};

BOOST_FIXTURE_TEST_SUITE(early_response_test, early_response_fixture)

// Guards against a part of a response that is delivered as complete: the error of the write takes
// the place of the reset, after which a read finds an ordinary end of the connection.
BOOST_AUTO_TEST_CASE(response_without_a_length_that_is_reset_during_the_upload_is_incomplete) {
    for (const std::string response :
         {"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
          "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
          "HTTP/1.1 503 Unavailable\r\nX-Not-Run: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX-"}) {
        BOOST_TEST_CONTEXT(response) {
            const auto result = upload(response);
            const auto* error = std::get_if<http::call_error>(&result);
            BOOST_REQUIRE(error != nullptr);
            BOOST_TEST(error->sent);
            BOOST_TEST((error->kind == http::call_error_kind::closed));
        }
    }
}

// Guards against a refusal that looks like a request which may have run, so that its caller is not
// told to try again: the server refused a long upload early.
BOOST_AUTO_TEST_CASE(response_with_a_length_that_comes_during_the_upload_is_delivered) {
    const auto result = upload("HTTP/1.1 503 Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n"
                               "\r\nfull");
    const auto* response = std::get_if<http::response>(&result);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->status == 503U);
    BOOST_TEST(response->body == "full");
    BOOST_TEST(http::find_header(response->fields, "X-Not-Run") == "1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
