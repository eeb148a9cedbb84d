#include "gateway/store/drained_domains.h"

#include <algorithm>
#include <array>
#include <map>

#include <boost/test/unit_test.hpp>

#include "support/property.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;
using std::chrono::seconds;

/// What a gateway does or learns.
enum class drain_step {
    /// The operator drains a domain, or ends its drain.
    write,
    /// A change that was written some time ago arrives from another gateway.
    relay_old,
    /// All changes since the last read arrive.
    watch,
    /// The whole table is read again, because its history is lost.
    read_all,
    /// The gateway restarts and reads the whole table.
    restart
};

/// The rows of the table as the store holds them, with all their former states.
struct drain_history {
    std::uint64_t version = 0;
    std::vector<domain_drain> writes;

    void write(const std::string& domain) {
        writes.push_back({domain, {1, ++version}, !is_drained(domain)});
    }

    [[nodiscard]] bool is_drained(const std::string& domain, std::uint64_t at = ~0ULL) const {
        bool drained = false;
        for (const auto& it : writes) {
            drained = it.domain == domain && it.position.version <= at ? it.in_force : drained;
        }
        return drained;
    }

    [[nodiscard]] std::vector<domain_drain> rows() const {
        std::map<std::string, domain_drain> last;
        for (const auto& it : writes) {
            last[it.domain] = it;
        }
        std::vector<domain_drain> result;
        for (const auto& [domain, it] : last) {
            if (it.in_force) {
                result.push_back(it);
            }
        }
        return result;
    }
};

struct drained_domains_fixture {
    static store_position at_version(std::uint64_t version) { return {1, version}; }

    static constexpr std::array<const char*, 3> names{"z1", "z2", "z3"};

    common::time_point now{seconds{100}};
    drained_domains subject;

    /// How a gateway treats a state of a row.
    using apply_hook = std::function<void(drained_domains&, const domain_drain&)>;

    static void apply(drained_domains& to, const domain_drain& drain) {
        to.apply(drain, common::time_point{});
    }

    /// Treats each state as the newest one.
    static void apply_in_order_of_arrival(drained_domains& to, const domain_drain& drain) {
        drained_domains other;
        for (auto it : to.all()) {
            it.position = it.domain == drain.domain ? store_position{} : it.position;
            other.apply(it, common::time_point{});
        }
        other.apply(drain, common::time_point{});
        to = other;
    }

    /// Runs random steps. Returns what the gateway got wrong, or an empty string.
    static std::string check(const std::vector<std::pair<drain_step, int>>& steps,
                             const apply_hook& apply) {
        drain_history history;
        drained_domains subject;
        std::uint64_t read = 0;
        // The newest version of each domain that the gateway has got by any way.
        std::map<std::string, std::uint64_t> got;
        for (const auto& [step, n] : steps) {
            const auto index = static_cast<std::size_t>(n);
            switch (step) {
            case drain_step::write:
                history.write(names.at(index % names.size()));
                break;
            case drain_step::relay_old:
                if (!history.writes.empty()) {
                    const auto& old = history.writes[index % history.writes.size()];
                    apply(subject, old);
                    got[old.domain] = std::max(got[old.domain], old.position.version);
                }
                break;
            case drain_step::watch:
                for (const auto& it : history.writes) {
                    if (it.position.version > read) {
                        apply(subject, it);
                    }
                }
                read = history.version;
                subject.advance(at_version(read));
                break;
            case drain_step::restart:
                subject = {};
                got.clear();
                [[fallthrough]];
            case drain_step::read_all:
                read = history.version;
                subject.replace(history.rows(), at_version(read), common::time_point{});
                break;
            }
            for (const auto* name : names) {
                const auto newest = std::max(read, got[name]);
                if (subject.is_drained(name) != history.is_drained(name, newest)) {
                    return std::string{"wrong state of "} + name;
                }
            }
        }
        return {};
    }

    static std::vector<std::pair<drain_step, int>> draw_steps() {
        const auto kind = rc::gen::element(
            drain_step::write, drain_step::write, drain_step::relay_old, drain_step::relay_old,
            drain_step::watch, drain_step::read_all, drain_step::restart);
        return *rc::gen::container<std::vector<std::pair<drain_step, int>>>(
            rc::gen::pair(kind, rc::gen::inRange(0, 1000)));
    }
};

BOOST_FIXTURE_TEST_SUITE(drained_domains_test, drained_domains_fixture)

// Guards against a drain that an earlier version of its row ends, which arrives late.
BOOST_AUTO_TEST_CASE(drain_that_was_ended_and_set_again_outlasts_the_late_end) {
    BOOST_TEST(subject.apply({"z1", at_version(10), true}, now));
    BOOST_TEST(subject.apply({"z1", at_version(20), true}, now));
    BOOST_TEST(!subject.apply({"z1", at_version(15), false}, now));
    BOOST_TEST(subject.is_drained("z1"));
}

// Guards against a drain that comes back after its end, because another gateway passes it on late.
BOOST_AUTO_TEST_CASE(ended_drain_does_not_come_back_with_an_earlier_version) {
    subject.replace({}, at_version(30), now);
    BOOST_TEST(!subject.apply({"z1", at_version(20), true}, now));
    BOOST_TEST(subject.apply({"z1", at_version(40), true}, now));
    BOOST_TEST(subject.apply({"z1", at_version(50), false}, now));
    BOOST_TEST(!subject.apply({"z1", at_version(40), true}, now));
    BOOST_TEST(subject.count() == 0U);
}

// Guards against a drain that a read of the table ends although it began before the drain.
BOOST_AUTO_TEST_CASE(drain_after_the_begin_of_a_read_outlasts_it) {
    subject.apply({"z1", at_version(20), true}, now);
    BOOST_TEST(subject.replace({}, at_version(15), now).empty());
    BOOST_TEST(subject.is_drained("z1"));
    BOOST_TEST(subject.replace({}, at_version(20), now).size() == 1U);
    BOOST_TEST(!subject.is_drained("z1"));
}

BOOST_AUTO_TEST_CASE(end_of_a_drain_is_known_until_the_next_drain) {
    BOOST_TEST(!subject.drain_ended("z1"));
    subject.apply({"z1", at_version(1), true}, now);
    BOOST_TEST(!subject.drain_ended("z1"));
    subject.apply({"z1", at_version(2), false}, now + seconds{3});
    BOOST_REQUIRE(subject.drain_ended("z1"));
    BOOST_TEST((*subject.drain_ended("z1") == now + seconds{3}));
    subject.apply({"z1", at_version(3), true}, now + seconds{4});
    BOOST_TEST(!subject.drain_ended("z1"));
}

// Guards against requests to a domain whose acknowledged drain a restored store has lost.
BOOST_AUTO_TEST_CASE(drain_that_a_restored_store_lacks_holds_until_it_could_be_written_again) {
    subject.apply({"z1", {1, 20}, true}, now);
    subject.record_restore(now);
    BOOST_TEST(subject.replace({}, {2, 15}, now).empty());
    BOOST_TEST(subject.is_drained("z1"));
    now += drained_domains::rewrite_time - seconds{1};
    BOOST_TEST(subject.end_lost(now).empty());
    now += seconds{1};
    BOOST_TEST(subject.end_lost(now).size() == 1U);
    BOOST_TEST(!subject.is_drained("z1"));
}

// Guards against a drain that the operator can't end after a restore.
BOOST_AUTO_TEST_CASE(drain_that_is_ended_after_a_restore_ends_whatever_its_version) {
    subject.apply({"z1", {1, 20}, true}, now);
    subject.record_restore(now);
    subject.replace({}, {2, 10}, now);
    BOOST_TEST(subject.apply({"z1", {2, 12}, false}, now));
    BOOST_TEST(!subject.is_drained("z1"));
    BOOST_TEST(!subject.apply({"z1", {1, 20}, true}, now));
}

// Guards against a gateway that learns only from others of a drain which the restored store lacks.
BOOST_AUTO_TEST_CASE(lost_drain_of_another_gateway_is_applied_for_a_time_after_a_restore) {
    subject.replace({}, {1, 10}, now);
    subject.record_restore(now);
    subject.replace({}, {2, 8}, now);
    BOOST_TEST(subject.apply({"z1", {1, 12}, true}, now));
    BOOST_TEST(subject.is_drained("z1"));
    now += drained_domains::rewrite_time;
    BOOST_TEST(!subject.apply({"z2", {1, 13}, true}, now));
}

// Guards against memory that grows with each domain that was ever drained.
BOOST_AUTO_TEST_CASE(ended_drains_are_forgotten_once_the_table_is_known_beyond_them) {
    constexpr std::uint64_t count = 1000;
    for (std::uint64_t n = 1; n <= count; ++n) {
        const auto name = std::to_string(n);
        subject.apply({name, at_version(2 * n), true}, now);
        subject.apply({name, at_version(2 * n + 1), false}, now);
        subject.advance(at_version(2 * n + 1));
    }
    BOOST_TEST(subject.all().size() <= 65U);
    BOOST_TEST(!subject.apply({"1", at_version(2), true}, now));
}

BOOST_AUTO_TEST_CASE(drains_in_any_sequence_of_events_follow_the_newest_known_version) {
    check_property(20261206, 20'000, [] { RC_ASSERT(check(draw_steps(), apply) == ""); });
}

// Shows that the property finds a gateway that takes the last message for the newest.
BOOST_AUTO_TEST_CASE(drains_in_order_of_arrival_are_found_wrong) {
    rc::detail::TestParams parameters;
    parameters.seed = 7;
    parameters.maxSuccess = 5000;
    parameters.disableShrinking = true;
    const auto result = rc::detail::checkProperty(
        rc::detail::toProperty(
            [] { RC_ASSERT(check(draw_steps(), apply_in_order_of_arrival).empty()); }),
        {}, parameters);
    BOOST_TEST(result.is<rc::detail::FailureResult>());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
