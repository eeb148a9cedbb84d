#include "gateway/store/table_copy.h"

#include <algorithm>
#include <deque>
#include <map>

#include <boost/test/unit_test.hpp>

#include "common/digest.h"
#include "common/random.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct table_copy_fixture {
    table_copy copy;
    table_copy_fixture() { copy.set_complete(at_version(10)); }

    static store_position at_version(std::uint64_t version) { return {1, version}; }
    static common::time_point at(int ms) { return common::time_point{milliseconds{ms}}; }
};

BOOST_FIXTURE_TEST_SUITE(table_copy_test, table_copy_fixture)

BOOST_AUTO_TEST_CASE(changes_are_related_to_the_version_of_the_copy) {
    BOOST_TEST((copy.order_of(at_version(5), at_version(9)) == change_order::older));
    BOOST_TEST((copy.order_of(at_version(5), at_version(10)) == change_order::known));
    BOOST_TEST((copy.order_of(at_version(5), at_version(11)) == change_order::next));
    BOOST_TEST((copy.order_of(at_version(10), at_version(12)) == change_order::next));
    BOOST_TEST((copy.order_of(at_version(11), at_version(12)) == change_order::gap));
    copy.advance(at_version(12));
    copy.advance(at_version(11));
    BOOST_TEST(copy.position().version == 12U);
}

// Guards against changes of a restored store that are taken for known ones.
BOOST_AUTO_TEST_CASE(changes_of_another_era_are_related_by_the_era_first) {
    copy.set_complete({2, 10});
    BOOST_TEST((copy.order_of({1, 5}, {1, 20}) == change_order::older));
    BOOST_TEST((copy.order_of({3, 1}, {3, 2}) == change_order::restored));
    BOOST_TEST((copy.order_of({3, 10}, {3, 20}) == change_order::restored));
    copy.advance({1, 30});
    BOOST_TEST((copy.position() == store_position{2, 10}));
}

BOOST_AUTO_TEST_CASE(digest_depends_on_the_contents_and_not_on_the_order) {
    BOOST_TEST(copy.set_row("a", 1));
    BOOST_TEST(copy.set_row("b", 2));
    BOOST_TEST(!copy.set_row("b", 2));
    table_copy other;
    other.set_row("b", 3);
    other.set_row("b", 2);
    other.set_row("c", 4);
    other.set_row("a", 1);
    BOOST_TEST(other.digest() != copy.digest());
    BOOST_TEST(other.set_row("c", std::nullopt));
    BOOST_TEST(!other.set_row("c", std::nullopt));
    BOOST_TEST(other.digest() == copy.digest());
    other.clear_rows();
    BOOST_TEST(other.digest() == table_copy{}.digest());
}

BOOST_AUTO_TEST_CASE(copy_is_checked_when_it_was_not_confirmed_for_long) {
    copy.confirm(at(1000));
    copy.confirm(at(900));
    BOOST_TEST((copy.check_due(seconds{1}) == at(2000)));
}

/// Ways in which the receivers of relayed changes can be wrong.
struct relay_faults {
    bool ignore_gaps = false;
    bool apply_all = false;
    bool ignore_digests = false;
    bool trust_silence = false;
    /// Versions are compared without their era.
    bool ignore_eras = false;
};

/// A store, two gateways that follow it and others that follow these, on a virtual clock. Messages
/// are delayed, lost and duplicated, gateways freeze, readers are cut off from the store, and the
/// store may be restored from older copies.
struct relay_simulation {
    struct message {
        common::time_point due;
        table_changes changes;
        common::time_point confirmed;
    };

    struct node {
        table_copy copy;
        std::map<std::string, std::uint64_t> rows;
        std::deque<message> inbox;
        common::time_point frozen_until;
        common::time_point next_call;
        std::vector<store_row> pending;
        store_position relayed;
        std::size_t calls = 0;
    };

    static constexpr std::size_t readers = 2;
    static constexpr milliseconds step{50};
    static constexpr milliseconds poll_interval{250};
    static constexpr milliseconds max_relayed_age{1200};
    // A change reaches all within this time, unless a gateway is frozen: the age of a copy, one
    // step for the check and one for the clock.
    static constexpr milliseconds spread_limit{1200 + 2 * 50};

    /// The content of the store at one time.
    struct store_copy {
        std::map<std::string, std::uint64_t> rows;
        std::map<std::string, std::uint64_t> row_versions;
        std::uint64_t version = 1;
    };

    /// Age of the oldest copy from which the store is restored, in steps.
    static constexpr std::size_t max_copy_age = 100;

    common::random_hook random;
    std::vector<node> nodes;
    std::map<std::string, std::uint64_t> stored;
    std::map<std::string, std::uint64_t> row_versions;
    std::uint64_t version = 1;
    std::uint64_t era = 1;
    bool restores = false;
    std::deque<store_copy> copies;
    common::time_point now{seconds{100}};
    common::time_point changed_at = now;
    relay_faults faults;
    common::duration max_age = max_relayed_age;

    relay_simulation(std::uint64_t seed, std::size_t count, const relay_faults& broken = {})
        : random{common::seeded_random(seed)}, faults{broken} {
        if (faults.trust_silence) {
            max_age = seconds{60};
        }
        nodes.resize(count);
        for (auto& it : nodes) {
            read_all(it);
        }
    }

    bool chance(unsigned percent) { return common::uniform_below(random, 100) < percent; }

    void change_store() {
        const auto key = "k" + std::to_string(common::uniform_below(random, 6));
        ++version;
        row_versions[key] = version;
        // Some rows are only rewritten, some are deleted.
        if (chance(60)) {
            return;
        }
        changed_at = now;
        if (chance(20)) {
            stored.erase(key);
        } else {
            // Few contents, so that a row often returns to an earlier one.
            stored[key] = common::uniform_below(random, 2);
        }
    }

    /// Restores the store from a copy. Writes that follow give out its versions again.
    void restore() {
        const auto& copy = copies[common::uniform_below(random, copies.size())];
        stored = copy.rows;
        row_versions = copy.row_versions;
        version = copy.version;
        ++era;
        changed_at = now;
        for (auto n = common::uniform_below(random, 60); n > 0; --n) {
            change_store();
        }
    }

    /// The era as receivers see it.
    [[nodiscard]] std::uint64_t seen_era() const { return faults.ignore_eras ? 1 : era; }

    /// Whether the store can't tell what has changed since the copy of a gateway was read.
    [[nodiscard]] bool lacks_history(const node& of) const {
        return of.copy.position().era != seen_era() || of.copy.position().version > version;
    }

    void apply(node& to, const std::string& key, std::optional<std::uint64_t> content) {
        if (content) {
            to.rows[key] = *content;
        } else {
            to.rows.erase(key);
        }
        if (to.copy.set_row(key, content)) {
            to.pending.push_back(
                {key, content ? std::optional{std::to_string(*content)} : std::nullopt, version});
        }
    }

    void read_all(node& to) {
        ++to.calls;
        to.copy.clear_rows();
        to.rows.clear();
        for (const auto& [key, content] : stored) {
            apply(to, key, content);
        }
        to.pending.clear();
        to.relayed = {seen_era(), version};
        to.copy.set_complete({seen_era(), version});
        to.copy.confirm(now);
    }

    void read_changes(node& to) {
        if (lacks_history(to)) {
            read_all(to);
            return;
        }
        ++to.calls;
        for (const auto& [key, changed] : row_versions) {
            if (changed > to.copy.position().version) {
                const auto it = stored.find(key);
                apply(to, key, it == stored.end() ? std::nullopt : std::optional{it->second});
            }
        }
        to.copy.advance({seen_era(), version});
        to.copy.confirm(now);
    }

    void relay(node& from) {
        const message sent{now,
                           {store_table::upstreams, from.relayed, from.copy.position(),
                            from.copy.digest(), std::exchange(from.pending, {})},
                           *from.copy.confirmed()};
        from.relayed = from.copy.position();
        for (std::size_t n = readers; n < nodes.size(); ++n) {
            const unsigned copies = chance(3) ? 0 : chance(3) ? 2 : 1;
            for (unsigned copy = 0; copy < copies; ++copy) {
                nodes[n].inbox.push_back(sent);
                nodes[n].inbox.back().due += milliseconds{common::uniform_below(random, 40)};
            }
        }
    }

    void receive(node& to) {
        std::deque<message> late;
        for (auto& it : std::exchange(to.inbox, {})) {
            if (it.due > now) {
                late.push_back(std::move(it));
                continue;
            }
            const auto order = to.copy.order_of(it.changes.since, it.changes.until);
            if (order == change_order::gap && !faults.ignore_gaps) {
                read_changes(to);
            }
            if (order == change_order::restored) {
                read_all(to);
                continue;
            }
            const bool is_applied =
                order == change_order::next || (faults.apply_all && order != change_order::gap);
            if (!is_applied && order != change_order::known) {
                continue;
            }
            for (const auto& row : is_applied ? it.changes.rows : std::vector<store_row>{}) {
                apply(to, row.key,
                      row.value ? std::optional{std::stoull(*row.value)} : std::nullopt);
            }
            to.copy.advance(it.changes.until);
            if (to.copy.digest() != it.changes.digest && !faults.ignore_digests) {
                read_all(to);
                continue;
            }
            to.copy.confirm(it.confirmed);
        }
        to.inbox = std::move(late);
    }

    void run(node& it, bool is_reader) {
        if (now < it.frozen_until) {
            return;
        }
        receive(it);
        if (is_reader) {
            if (now >= it.next_call) {
                read_changes(it);
                it.next_call = now + poll_interval;
                relay(it);
            }
        } else if (now >= it.copy.check_due(max_age)) {
            read_changes(it);
        }
    }

    void disturb() {
        copies.push_back({stored, row_versions, version});
        if (copies.size() > max_copy_age) {
            copies.pop_front();
        }
        if (restores && chance(1)) {
            restore();
        }
        if (chance(2)) {
            auto& it = nodes[common::uniform_below(random, nodes.size())];
            it.frozen_until = now + milliseconds{500 + common::uniform_below(random, 4000)};
        }
        if (chance(1)) {
            for (std::size_t n = 0; n < readers; ++n) {
                nodes[n].frozen_until = now + seconds{3};
            }
        }
    }

    /// Returns the first broken promise, or an empty string.
    std::string check() {
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            const auto& it = nodes[n];
            const auto awake_since = std::max(it.frozen_until, changed_at);
            if (now - awake_since > spread_limit && it.rows != stored) {
                return "a change is missing at gateway " + std::to_string(n);
            }
            if (it.copy.position() > store_position{era, version} || *it.copy.confirmed() > now) {
                return "a version or confirmation from the future";
            }
        }
        return {};
    }

    std::string play(int steps) {
        for (int n = 0; n < steps; ++n, now += step) {
            if (chance(30)) {
                change_store();
            }
            disturb();
            for (std::size_t k = 0; k < nodes.size(); ++k) {
                const auto before = nodes[k].copy.position();
                run(nodes[k], k < readers);
                if (nodes[k].copy.position() < before) {
                    return "the version went back";
                }
            }
            if (auto broken = check(); !broken.empty()) {
                return broken;
            }
        }
        return {};
    }
};

// Guards against changes that are lost, reverted or late at gateways that do not follow the store.
BOOST_AUTO_TEST_CASE(relayed_copies_through_losses_and_freezes_stay_current) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        relay_simulation simulation{seed, 5 + seed % 30};
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(simulation.play(600) == "");
        }
    }
}

// Guards against changes of a restored store that are lost, because their versions were given out
// before.
BOOST_AUTO_TEST_CASE(relayed_copies_through_restores_of_the_store_stay_current) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        relay_simulation simulation{seed, 5 + seed % 30};
        simulation.restores = true;
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(simulation.play(600) == "");
        }
    }
}

// Shows that the simulation notices each kind of fault.
BOOST_AUTO_TEST_CASE(relayed_copies_of_faulty_receivers_are_found_wrong) {
    const auto is_found = [](const relay_faults& faults, bool restores = false) {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            relay_simulation simulation{seed, 5 + seed % 30, faults};
            simulation.restores = restores;
            if (!simulation.play(600).empty()) {
                return true;
            }
        }
        return false;
    };
    BOOST_TEST(is_found({.ignore_gaps = true, .ignore_digests = true}));
    BOOST_TEST(is_found({.apply_all = true, .ignore_digests = true}));
    BOOST_TEST(is_found({.ignore_digests = true}));
    BOOST_TEST(is_found({.trust_silence = true}));
    BOOST_TEST(is_found({.ignore_eras = true}, true));
}

// Guards against calls to the store that grow with the number of gateways.
BOOST_AUTO_TEST_CASE(calls_to_the_store_stay_flat_without_faults) {
    for (const std::size_t count : {10U, 100U, 350U}) {
        relay_simulation simulation{7, count};
        std::size_t before = 0;
        for (int n = 0; n < 400; ++n, simulation.now += relay_simulation::step) {
            if (n % 5 == 0) {
                simulation.change_store();
            }
            for (std::size_t k = 0; k < count; ++k) {
                simulation.run(simulation.nodes[k], k < relay_simulation::readers);
            }
        }
        for (std::size_t k = relay_simulation::readers; k < count; ++k) {
            before += simulation.nodes[k].calls;
        }
        // Each lost message costs one call.
        BOOST_TEST(static_cast<double>(before) / static_cast<double>(count) < 8);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
