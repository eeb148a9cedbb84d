#include <array>
#include <string_view>

#include "common/enum_names.h"
#include "integration/gateway_fixture.h"

namespace jujubemast::tests {

/// Where the newest version of a restored store stands when it answers again.
enum class restored_head { below_all_copies, between_the_copies, equal_to_the_former, past_it };

} // namespace jujubemast::tests

namespace jujubemast::common {

template <>
struct enum_names<tests::restored_head> {
    static constexpr std::array<std::string_view, 4> table{"below_all_copies", "between_the_copies",
                                                           "equal_to_the_former", "past_it"};
};

} // namespace jujubemast::common

namespace jujubemast::tests {

/// Gateways whose store is away for a moment and comes back from an older copy of itself.
struct store_restored_fixture : gateway_fixture {
    /// The contact_ms and the config_apply_ms of the users' platform.
    static constexpr std::chrono::milliseconds contact_limit{3000};
    static constexpr std::chrono::milliseconds apply_limit{2000};
    static constexpr std::chrono::milliseconds absence{400};
    /// Rows that the store loses, and their share that it gives out again in `between_the_copies`.
    static constexpr int lost_writes = 20;
    static constexpr std::array<restored_head, 4> all_heads{
        restored_head::below_all_copies, restored_head::between_the_copies,
        restored_head::equal_to_the_former, restored_head::past_it};

    std::chrono::steady_clock::time_point returned;

    std::string control(const char* path, const std::string& body = {}) const {
        return std::string{call(store_address, {"POST", path, {}, body}).body};
    }

    static void let_pass(std::chrono::milliseconds time) {
        const auto end = std::chrono::steady_clock::now() + time;
        wait_until("the time is over", [&] { return std::chrono::steady_clock::now() >= end; });
    }

    int version() const { return counter_value("/version"); }

    /// Writes rows that no gateway can use, as upstreams do with their heartbeats.
    void write_others(int n) const {
        for (int k = 0; k < n; ++k) {
            set_upstream_bytes("foreign", std::to_string(k));
        }
    }

    std::string dump(std::size_t gateway) const {
        const auto admin =
            gateways[gateway]->listening_address("jujubemast-gateway/admin/listener");
        return std::string{call(admin, {"GET", "/dump", {}, {}}).body};
    }

    bool knows_upstream(std::size_t gateway, const std::string& id) const {
        return dump(gateway).find("\"id\":\"" + id + '"') != std::string::npos;
    }

    bool knows_drain(std::size_t gateway, const std::string& domain) const {
        return dump(gateway).find(R"("domain":")" + domain + R"(","drained":true)") !=
               std::string::npos;
    }

    bool all_gateways(const std::function<bool(std::size_t)>& condition) const {
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            if (!condition(n)) {
                return false;
            }
        }
        return true;
    }

    /// Writes rows that the copy lacks, and waits until all copies of the gateways are newer than
    /// the store's copy.
    void write_what_is_lost() const {
        const auto copied = version();
        write_others(lost_writes);
        // A poll without changes ends after 1.5 s at the latest.
        wait_until("all polls have ended once", [&] {
            return all_gateways([&](std::size_t n) {
                const auto state = boost::json::parse(dump(n));
                const auto* tables = find_object(state, "tables");
                return tables != nullptr &&
                       std::all_of(tables->begin(), tables->end(), [&](const auto& it) {
                           return it.value().at("version").as_int64() > copied;
                       });
            });
        });
    }

    /// Takes the store away and restores it from its copy. Before it answers the gateways, `write`
    /// is called, and upstreams write until the newest version is where `head` says.
    void restore(
        restored_head head, const std::function<void()>& write = [] {}) {
        write_what_is_lost();
        const int former = version();
        control("/silence", "1");
        let_pass(absence);
        control("/restore");
        write();
        const int copied = version();
        switch (head) {
        case restored_head::below_all_copies:
            break;
        case restored_head::between_the_copies:
            write_others((former - copied) / 2);
            break;
        case restored_head::equal_to_the_former:
            write_others(former - copied);
            break;
        case restored_head::past_it:
            write_others(former - copied + 3);
            break;
        }
        control("/silence", "0");
        returned = std::chrono::steady_clock::now();
    }

    /// Waits until a condition holds at all gateways, or until they are bound by it: they are in
    /// touch again, and a change that was written just now has to be in force.
    bool holds_in_time(const std::function<bool(std::size_t)>& condition) const {
        const auto limit =
            std::max(returned + contact_limit, std::chrono::steady_clock::now() + apply_limit);
        wait_until("the limit", [&] {
            return all_gateways(condition) || std::chrono::steady_clock::now() > limit;
        });
        return all_gateways(condition);
    }

    /// Whether a condition holds at all gateways from now until they are in touch again.
    bool holds_throughout(const std::function<bool(std::size_t)>& condition) const {
        bool holds = true;
        wait_until("the gateways are in touch", [&] {
            holds = holds && all_gateways(condition);
            return !holds || std::chrono::steady_clock::now() > returned + contact_limit;
        });
        return holds;
    }

    /// Writes or deletes the row that drains a failure domain.
    void set_drained(const std::string& domain, bool drained) const {
        boost::json::object row{{"table", "op"}, {"part", ""}, {"key", "evacuate/" + domain}};
        if (drained) {
            row["value"] = "e30=";
        }
        const boost::json::array rows{row};
        const boost::json::array none;
        control("/transaction",
                boost::json::serialize(boost::json::object{{"expect", none},
                                                           {"puts", drained ? rows : none},
                                                           {"remove", drained ? none : rows}}));
    }

    bool is_registered(std::size_t gateway) const {
        const auto rows = call(store_address, {"GET", "/rows-get?table=gateways&part=", {}, {}});
        return rows.body.find("\"key\":\"g" + std::to_string(gateway) + '"') != std::string::npos;
    }

    static const boost::json::object* find_object(const boost::json::value& in,
                                                  std::string_view name) {
        if (!in.is_object()) {
            return nullptr;
        }
        for (const auto& it : in.as_object()) {
            if (it.key() == name && it.value().is_object()) {
                return &it.value().as_object();
            }
            if (const auto* found = find_object(it.value(), name)) {
                return found;
            }
        }
        return nullptr;
    }
};

/// Runs a case for each place of the store's newest version.
template <typename Case>
void for_each_head(const Case& run) {
    for (const auto head : store_restored_fixture::all_heads) {
        BOOST_TEST_CONTEXT("newest version " << common::to_name(head)) {
            store_restored_fixture fixture;
            run(fixture, head);
        }
    }
}

BOOST_AUTO_TEST_SUITE(store_restored_test)

// Guards against a configuration that is never in force, and a withdrawn key that stays valid: the
// store gave out versions again that the gateways had seen.
BOOST_AUTO_TEST_CASE(configuration_written_after_a_restore_is_in_force) {
    for_each_head([](store_restored_fixture& it, restored_head head) {
        it.control("/copy");
        it.restore(head, [&] { it.control("/configuration", "2"); });
        BOOST_TEST(
            it.holds_in_time([&](std::size_t n) { return it.status_with_key_of(2, n) == 200; }));
        BOOST_TEST(
            it.holds_in_time([&](std::size_t n) { return it.status_with_key_of(1, n) != 200; }));
    });
}

// Guards against requests to an upstream whose removal was given a version that had been seen.
BOOST_AUTO_TEST_CASE(upstream_removed_after_a_restore_is_gone) {
    for_each_head([](store_restored_fixture& it, restored_head head) {
        it.replace_upstreams("desk", {}, {"leaving"}, "127.0.0.1:1");
        it.control("/copy");
        it.restore(head, [&] { it.set_upstream("leaving", "desk", ""); });
        BOOST_TEST(
            it.holds_in_time([&](std::size_t n) { return !it.knows_upstream(n, "leaving"); }));
    });
}

// Guards against requests to a failure domain whose drain was given a version that had been seen.
BOOST_AUTO_TEST_CASE(domain_drained_after_a_restore_is_drained) {
    for_each_head([](store_restored_fixture& it, restored_head head) {
        it.control("/copy");
        it.restore(head, [&] { it.set_drained("y", true); });
        BOOST_TEST(it.holds_in_time([&](std::size_t n) { return it.knows_drain(n, "y"); }));
        it.set_drained("y", false);
        BOOST_TEST(it.holds_in_time([&](std::size_t n) { return !it.knows_drain(n, "y"); }));
    });
}

// Guards against gateways that others no longer know: the store has lost their rows.
BOOST_AUTO_TEST_CASE(gateway_whose_row_is_lost_by_a_restore_registers_again) {
    for_each_head([](store_restored_fixture& it, restored_head head) {
        it.control("/copy", "gateways");
        it.restore(head);
        BOOST_TEST(it.holds_in_time([&](std::size_t n) { return it.is_registered(n); }));
    });
}

// Guards against a withdrawn key that is valid again while the store holds an older configuration.
BOOST_AUTO_TEST_CASE(configuration_that_a_restore_takes_back_stays_in_force) {
    for_each_head([](store_restored_fixture& it, restored_head head) {
        it.control("/copy");
        it.control("/configuration", "2");
        BOOST_REQUIRE(
            it.holds_in_time([&](std::size_t n) { return it.status_with_key_of(2, n) == 200; }));
        it.restore(head);
        BOOST_TEST(
            it.holds_throughout([&](std::size_t n) { return it.status_with_key_of(1, n) != 200; }));
        BOOST_TEST(
            it.holds_throughout([&](std::size_t n) { return it.status_with_key_of(2, n) == 200; }));
    });
}

// Guards against requests to a failure domain whose acknowledged drain the store has lost.
BOOST_AUTO_TEST_CASE(drain_that_a_restore_takes_back_holds_until_it_is_written_again) {
    for_each_head([](store_restored_fixture& it, restored_head head) {
        it.control("/copy");
        it.set_drained("y", true);
        BOOST_REQUIRE(it.holds_in_time([&](std::size_t n) { return it.knows_drain(n, "y"); }));
        it.restore(head);
        BOOST_TEST(it.holds_throughout([&](std::size_t n) { return it.knows_drain(n, "y"); }));
        it.set_drained("y", true);
        it.set_drained("y", false);
        BOOST_TEST(it.holds_in_time([&](std::size_t n) { return !it.knows_drain(n, "y"); }));
    });
}

// Guards against requests to an instance that has exited: the older copy of the store holds its
// entry.
BOOST_AUTO_TEST_CASE(upstream_that_has_left_is_not_used_when_a_restore_brings_its_entry_back) {
    for_each_head([](store_restored_fixture& it, restored_head head) {
        it.replace_upstreams("desk", {}, {"leaving"}, "127.0.0.1:1");
        it.control("/copy");
        it.set_upstream("leaving", "desk", "");
        BOOST_REQUIRE(
            it.holds_in_time([&](std::size_t n) { return !it.knows_upstream(n, "leaving"); }));
        it.restore(head);
        BOOST_TEST(
            it.holds_throughout([&](std::size_t n) { return !it.knows_upstream(n, "leaving"); }));
    });
}

// Guards against refusals with 503 of requests that no configuration allows, although the operator
// has written a newer configuration.
BOOST_AUTO_TEST_CASE(key_that_a_configuration_after_a_restore_lacks_is_refused_for_good) {
    store_restored_fixture it;
    it.control("/copy");
    it.restore(restored_head::past_it, [&] { it.control("/configuration", "2"); });
    BOOST_TEST(it.holds_in_time([&](std::size_t n) { return it.status_with_key_of(1, n) == 401; }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
