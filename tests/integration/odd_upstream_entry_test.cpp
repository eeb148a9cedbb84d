#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace jujubemast::tests {

/// Two gateways that read entries of another writer among those of the upstreams.
struct odd_upstream_entry_fixture : gateway_fixture {
    static constexpr const char* warning = "Could not decode the entry of an upstream.";

    static std::string entry_with_address(const std::string& address) {
        return boost::json::serialize(upstream_entry("desk", address));
    }

    static std::string entry_with(const std::string& field, const std::string& value) {
        auto fields = upstream_entry("desk", "127.0.0.1:1");
        fields.erase(field);
        auto text = boost::json::serialize(fields);
        text.back() = ',';
        return text + '"' + field + "\":" + value + '}';
    }

    static std::string nested(std::size_t depth) {
        return std::string(depth, '[') + "1" + std::string(depth, ']');
    }

    /// Entries of another writer by id.
    static std::vector<std::pair<std::string, std::string>> odd_entries() {
        return {{"odd-host", entry_with_address("engine:80")},
                {"odd-ip", entry_with_address("10.0.0.256:80")},
                {"odd-ipv6", entry_with_address("[::1]:80")},
                {"odd-port-zero", entry_with_address("127.0.0.1:0")},
                {"odd-port-large", entry_with_address("127.0.0.1:65536")},
                {"odd-port-larger", entry_with_address("127.0.0.1:99999999999")},
                {"odd-port-negative", entry_with_address("127.0.0.1:-1")},
                {"odd-slots-wide", entry_with("slots", "18446744073709551616")},
                {"odd-slots-infinite", entry_with("slots", "1e400")},
                {"odd-slots-none", entry_with("slots", "0")},
                {"odd-seq", entry_with("seq", "-1")},
                {"odd-born", entry_with("born", "1e30")},
                {"odd-nested", nested(10'000)},
                {"odd-nested-field", entry_with("address", nested(10'000))},
                {"odd-nested-extra", entry_with("extra", nested(100'000))},
                {"odd-text", "no entry"},
                {"odd-empty", ""}};
    }

    static std::size_t count(const std::string& text, const std::string& part) {
        std::size_t n = 0;
        for (auto pos = text.find(part); pos != std::string::npos; pos = text.find(part, pos + 1)) {
            ++n;
        }
        return n;
    }

    void check_gateways_are_sound() const {
        for (const auto& it : gateways) {
            BOOST_TEST(it->running());
            BOOST_TEST(count(it->log(), "Task failed.") == 0U);
        }
    }

    /// Sends requests through both gateways and checks that they are all served.
    void check_requests_are_served(const std::string& name) const {
        constexpr int requests = 12;
        for (std::size_t gateway = 0; gateway < gateways.size(); ++gateway) {
            for (int n = 0; n < requests; ++n) {
                const auto attempt = name + std::to_string(gateway) + "-" + std::to_string(n);
                BOOST_TEST(send("GET", "/read/1", attempt, {}, gateway).status == 200U, attempt);
            }
        }
    }

    void wait_for_line(const std::string& line, std::size_t times = 1) const {
        wait_until(line, [&] {
            return std::all_of(gateways.begin(), gateways.end(), [&](const auto& it) {
                return count(it->log(), line) >= times || !it->running();
            });
        });
    }
};

BOOST_FIXTURE_TEST_SUITE(odd_upstream_entry_test, odd_upstream_entry_fixture)

// Guards against gateways that end again and again, or no longer follow the table, after another
// writer has left entries among those of the upstreams.
BOOST_AUTO_TEST_CASE(gateways_with_odd_entries_serve_and_follow_the_table) {
    for (const auto& [id, bytes] : odd_entries()) {
        set_upstream_bytes(id, bytes);
    }
    // The gateways receive the changes in the order of the writes.
    set_upstream("d2", "desk", "");
    wait_for_line("Upstream is gone. upstream=d2");
    check_requests_are_served("odd");
    check_gateways_are_sound();
    for (const auto& [id, bytes] : odd_entries()) {
        for (const auto& it : gateways) {
            BOOST_TEST(count(it->log(), std::string{warning} + " key=" + id + " ") == 1U, id);
        }
    }
}

// Guards against a gateway that cannot start while an odd entry exists.
BOOST_AUTO_TEST_CASE(gateway_started_beside_odd_entries_serves) {
    for (const auto& [id, bytes] : odd_entries()) {
        set_upstream_bytes(id, bytes);
    }
    add_gateway(2, 1);
    check_requests_are_served("start");
    check_gateways_are_sound();
}

// Guards against a line for each heartbeat of a writer that repeats its odd entry.
BOOST_AUTO_TEST_CASE(odd_entry_that_is_rewritten_is_reported_once) {
    for (int n = 0; n < 5; ++n) {
        set_upstream_bytes("odd", entry_with_address("engine:80"));
        set_upstream("beat", "none", "127.0.0.1:" + std::to_string(n + 1));
        wait_for_line("Upstream changed. upstream=beat ", static_cast<std::size_t>(n) + 1);
    }
    for (const auto& it : gateways) {
        BOOST_TEST(count(it->log(), std::string{warning} + " key=odd ") == 1U);
    }
}

// Guards against an engine that is called although its entry is no longer valid, and against one
// that is left out although its entry has become valid.
BOOST_AUTO_TEST_CASE(entry_that_becomes_odd_or_valid_is_followed) {
    set_upstream_bytes("d1", entry_with("slots", "1e400"));
    wait_for_line("Upstream is gone. upstream=d1");
    for (int n = 0; n < 20; ++n) {
        const auto attempt = "gone" + std::to_string(n);
        BOOST_TEST(send("GET", "/read/1", attempt).body == "answer of d2", attempt);
    }
    set_upstream_bytes("late", entry_with_address("engine:80"));
    wait_for_line(std::string{warning} + " key=late ");
    set_upstream("late", "desk", "127.0.0.1:1");
    wait_for_line("Upstream changed. upstream=late ");
    check_requests_are_served("late");
    check_gateways_are_sound();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
