#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "common/random.h"
#include "support/child_process.h"
#include "support/http_call.h"

namespace jujubemast::tests {

/// Two gateways and the stand-in of the users' platform, as real processes.
struct gateway_fixture {
    std::string directory;
    std::unique_ptr<child_process> platform;
    std::string store_address;
    std::vector<std::unique_ptr<child_process>> gateways;
    std::vector<std::string> addresses;
    std::vector<std::string> ready_addresses;

    int stop_limit_ms;
    int memory_mb;

    /// `shares` are the processor shares of the gateways, in cores. `stop_limit` is the time in ms
    /// after SIGTERM at which they close the callers' connections. `memory` is the memory of each
    /// in MB.
    explicit gateway_fixture(const std::array<double, 2>& shares = {1, 1}, int stop_limit = 6900,
                             int memory = 256)
        : stop_limit_ms{stop_limit}, memory_mb{memory} {
        std::string pattern = std::filesystem::temp_directory_path() / "gateway-test-XXXXXX";
        directory = ::mkdtemp(pattern.data());
        platform = std::make_unique<child_process>(
            "standin-users-platform", std::vector<std::string>{}, directory + "/platform");
        store_address = platform->listening_address("standin-users-platform/store/listener");
        for (int n = 0; n < 2; ++n) {
            add_gateway(n, shares.at(static_cast<std::size_t>(n)));
        }
    }

    gateway_fixture(const gateway_fixture&) = delete;
    gateway_fixture& operator=(const gateway_fixture&) = delete;

    ~gateway_fixture() {
        gateways.clear();
        platform.reset();
        std::filesystem::remove_all(directory);
    }

    /// Returns a port on which nothing listens. The port for peers must be in the settings before
    /// the gateway starts. It is below the range from which the system takes the ports of outgoing
    /// connections and of listeners without a port, so that none of them takes it meanwhile.
    static unsigned free_port() {
        constexpr unsigned first_port = 20'000;
        constexpr unsigned port_count = 12'000;
        static const auto random = common::system_random();
        boost::asio::io_context context;
        for (;;) {
            const auto port = first_port + common::uniform_below(random, port_count);
            boost::asio::ip::tcp::acceptor probe{context};
            const boost::asio::ip::tcp::endpoint address{
                boost::asio::ip::make_address("127.0.0.1"),
                static_cast<boost::asio::ip::port_type>(port)};
            boost::system::error_code ec;
            probe.open(address.protocol());
            probe.bind(address, ec);
            if (!ec) {
                return static_cast<unsigned>(port);
            }
        }
    }

    /// Writes the settings file of a gateway and returns its path.
    std::string write_settings(const std::string& name, double processor_share = 1) const {
        auto path = directory + "/" + name + ".yaml";
        std::ofstream{path} << "instance:\n  name: " << name << "\n  failure_domain: z\n"
                            << "  regions: z=r1,y=r2\n"
                            << "  processor_share: " << processor_share << "\n"
                            << "  memory_mb: " << memory_mb << "\n"
                            << "callers:\n  listen: 127.0.0.1:0\n  stop_grace_ms: 300\n"
                            << "  stop_limit_ms: " << stop_limit_ms << "\n"
                            << "ready:\n  listen: 127.0.0.1:0\n"
                            << "peers:\n  listen: 127.0.0.1:" << free_port() << "\n"
                            << "admin:\n  listen: 127.0.0.1:0\n"
                            << "store:\n  address: " << store_address << "\n";
        return path;
    }

    void add_gateway(int n, double processor_share) {
        const auto name = "g" + std::to_string(n);
        const auto path = write_settings(name, processor_share);
        gateways.push_back(std::make_unique<child_process>(
            "jujubemast-gateway", std::vector<std::string>{"--settings", path},
            directory + "/" + name));
        const auto listener_task = [](const char* server) {
            return std::string{"jujubemast-gateway/"} + server + "/listener";
        };
        addresses.push_back(gateways.back()->listening_address(listener_task("callers")));
        ready_addresses.push_back(gateways.back()->listening_address(listener_task("ready")));
        try {
            wait_until(name + " is ready with upstreams", [&] {
                return ready_status(static_cast<std::size_t>(n)) == 200 &&
                       send("GET", "/read/probe", "probe", {}, static_cast<std::size_t>(n))
                               .status == 200;
            });
        } catch (const std::exception&) {
            BOOST_TEST_MESSAGE(gateways.back()->log());
            throw;
        }
    }

    unsigned ready_status(std::size_t n) const {
        return call(ready_addresses[n], {"GET", "/ready", {}, {}}).status;
    }

    received_response send(const std::string& method, const std::string& target,
                           const std::string& attempt, const http::headers& extra = {},
                           std::size_t gateway = 0) const {
        http::request message{method,
                              target,
                              {{"Host", "a.example"},
                               {"X-Attempt-Id", attempt},
                               {"X-Deadline-Ms", "5000"},
                               {"Authorization", "Bearer key-1"}},
                              method == "GET" ? "" : "body"};
        message.fields.insert(message.fields.end(), extra.begin(), extra.end());
        return receive(addresses[gateway], message);
    }

    /// Returns the requests that the upstreams received for an attempt, including its stage calls.
    std::vector<boost::json::object> records(const std::string& attempt) const {
        std::vector<boost::json::object> found;
        const auto response = call(store_address, {"GET", "/records", {}, {}});
        const auto all = boost::json::parse(response.body);
        for (const auto& it : all.as_array()) {
            const bool of_stage =
                it.at("body").as_string().find(attempt) != boost::json::string::npos;
            if (it.at("attempt").as_string() == attempt || of_stage) {
                found.push_back(it.as_object());
            }
        }
        return found;
    }

    /// Sends a request with one stage. The stage takes a second if the key begins with "slow".
    received_response send_staged(const std::string& attempt, const std::string& key,
                                  std::size_t gateway) const {
        return send("POST", "/slow/1", attempt,
                    {{"X-Model", "m"}, {"X-Pieces", "1"}, {"X-Piece-Key", key}}, gateway);
    }

    /// Waits until the gateways know each other. Returns the one that owns the service of the slow
    /// stages.
    std::size_t owner_of_stages() const {
        wait_until("the gateways know each other", [&] {
            return std::all_of(gateways.begin(), gateways.end(), [](const auto& it) {
                return it->log().find("Gateway is live.") != std::string::npos;
            });
        });
        const auto before = gateways[0]->log().size();
        BOOST_TEST(send_staged("find-owner", "k", 0).complete);
        return gateways[0]->log().find("Call answered.", before) != std::string::npos ? 0 : 1;
    }

    /// Number of stage calls of an attempt.
    std::size_t piece_calls(const std::string& attempt) const {
        const auto all = records(attempt);
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto& it) {
            return it.at("target").as_string() == "/stage-run";
        }));
    }

    /// Makes the store leave all calls unanswered, or respond to new ones again.
    void set_store_silent(bool silent) const {
        call(store_address, {"POST", "/silence", {}, silent ? "1" : "0"});
    }

    /// Returns the status of a request with the API key that only this version of the configuration
    /// contains.
    unsigned status_with_key_of(int version, std::size_t gateway) const {
        const auto key = "Bearer key-of-version-" + std::to_string(version);
        return receive(addresses[gateway],
                       {"GET",
                        "/read/1",
                        {{"Host", "a.example"}, {"X-Attempt-Id", "k"}, {"Authorization", key}},
                        {}})
            .status;
    }

    /// Writes a new configuration and checks that the gateways apply it within the time after which
    /// the platform regards them as connected again.
    void check_new_configuration_is_in_force() const {
        // The contact_ms of the users' platform, which is longer than its config_apply_ms.
        constexpr auto limit = std::chrono::seconds{3};
        const auto begin = std::chrono::steady_clock::now();
        call(store_address, {"POST", "/configuration", {}, "2"});
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            wait_until("the new key is known", [&] {
                return status_with_key_of(2, n) == 200 ||
                       std::chrono::steady_clock::now() > begin + limit;
            });
            BOOST_TEST(status_with_key_of(2, n) == 200U);
        }
    }

    /// Returns a counter of the stand-in.
    int counter_value(const char* path) const {
        return std::stoi(std::string{call(store_address, {"GET", path, {}, {}}).body});
    }

    /// Sends bytes on a new connection and returns all bytes received until it is closed.
    std::string send_raw(const std::string& bytes) const {
        boost::asio::io_context context;
        auto socket = open_connection(context, bytes);
        std::string text;
        boost::system::error_code ec;
        boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
        return text;
    }

    static std::string all_events() {
        std::string text;
        for (int id = 1; id <= 5; ++id) {
            text += "id: " + std::to_string(id) + "\ndata: x\n\n";
        }
        return text;
    }

    /// Returns the peak resident memory of a gateway in bytes.
    std::size_t peak_memory(std::size_t gateway) const {
        std::ifstream status{"/proc/" + std::to_string(gateways[gateway]->id()) + "/status"};
        std::string word;
        std::size_t kib = 0;
        while (status >> word) {
            if (word == "VmHWM:") {
                status >> kib;
            }
        }
        return kib * 1024;
    }

    /// Opens a connection to a gateway and sends the bytes. The kernel buffers little of what the
    /// gateway sends before it is read.
    boost::asio::ip::tcp::socket open_connection(boost::asio::io_context& context,
                                                 const std::string& bytes,
                                                 std::size_t gateway = 0) const {
        const auto target = http::parse_endpoint(addresses[gateway]);
        constexpr int receive_buffer_bytes = 4096;
        boost::asio::ip::tcp::socket socket{context};
        socket.open(boost::asio::ip::tcp::v4());
        socket.set_option(boost::asio::socket_base::receive_buffer_size{receive_buffer_bytes});
        socket.connect({boost::asio::ip::make_address(target.host), target.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        return socket;
    }

    /// Writes the entry of an upstream to the store, or removes it.
    void set_upstream(const std::string& id, const std::string& service,
                      const std::string& address) const {
        boost::json::value entry;
        if (!address.empty()) {
            entry = upstream_entry(service, address);
        }
        const boost::json::object row{{"id", id}, {"entry", entry}};
        call(store_address, {"POST", "/upstream", {}, boost::json::serialize(row)});
    }

    /// Replaces upstreams of a service by others at one address, and waits until all gateways know
    /// only these.
    void replace_upstreams(const std::string& service, const std::vector<std::string>& removed,
                           const std::vector<std::string>& added,
                           const std::string& address) const {
        for (const auto& it : added) {
            set_upstream(it, service, address);
        }
        for (const auto& it : removed) {
            set_upstream(it, service, "");
        }
        for (const auto& gateway : gateways) {
            const auto admin = gateway->listening_address("jujubemast-gateway/admin/listener");
            wait_until("the upstreams are replaced", [&] {
                const auto state = call(admin, {"GET", "/dump", {}, {}}).body;
                const auto is_known = [&](const std::string& id) {
                    return state.find("\"id\":\"" + id + '"') != std::string::npos;
                };
                return std::all_of(added.begin(), added.end(), is_known) &&
                       std::none_of(removed.begin(), removed.end(), is_known);
            });
        }
    }

    /// Writes bytes, which need not be valid, as the entry of an upstream.
    void set_upstream_bytes(const std::string& id, const std::string& bytes) const {
        const boost::json::object row{{"id", id}, {"bytes", bytes}};
        call(store_address, {"POST", "/upstream", {}, boost::json::serialize(row)});
    }

    static boost::json::object upstream_entry(const std::string& service,
                                              const std::string& address) {
        return {{"service", service}, {"address", address}, {"zone", "z"},
                {"version", "v1"},    {"slots", 4},         {"state", "ready"},
                {"cold_left_ms", 0},  {"seq", 1},           {"born", 1}};
    }
};

} // namespace jujubemast::tests
