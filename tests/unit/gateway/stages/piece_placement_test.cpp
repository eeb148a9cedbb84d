#include "gateway/stages/piece_placement.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway::stages;
using std::chrono::milliseconds;

struct piece_placement_fixture {
    piece_placement subject = make_piece_placement({});
    piece_placement former = make_piece_placement({.price_ms_per_gb = 0});
    hold_facts facts{.until_target = milliseconds{1000},
                     .full_call = milliseconds{600},
                     .until_preferred = milliseconds{0},
                     .result_bytes = 800'000};
};

BOOST_FIXTURE_TEST_SUITE(piece_placement_test, piece_placement_fixture)

BOOST_AUTO_TEST_CASE(piece_whose_preferred_domain_has_a_free_instance_is_held) {
    BOOST_TEST(subject.hold(facts));
    BOOST_TEST(!former.hold(facts));
}

// Guards against pieces that wait for instances of one domain while those of others are idle.
BOOST_AUTO_TEST_CASE(piece_whose_preferred_domain_is_busy_is_not_held) {
    facts.until_preferred = milliseconds{10};
    BOOST_TEST(!subject.hold(facts));
    facts.until_preferred.reset();
    BOOST_TEST(!subject.hold(facts));
}

// Guards against a free instance that takes nothing, for lack of memory, while pieces wait for it.
BOOST_AUTO_TEST_CASE(piece_that_was_held_already_is_not_held_again) {
    facts.held = milliseconds{5};
    BOOST_TEST(!subject.hold(facts));
}

BOOST_AUTO_TEST_CASE(piece_of_a_started_order_is_held_as_long_as_its_bytes_are_worth) {
    facts.is_started = true;
    facts.until_preferred = milliseconds{15};
    BOOST_TEST(subject.hold(facts));
    facts.held = milliseconds{10};
    BOOST_TEST(!subject.hold(facts));
    facts.held = milliseconds{0};
    facts.result_bytes = 60'000;
    BOOST_TEST(!subject.hold(facts));
}

BOOST_AUTO_TEST_CASE(piece_that_would_be_late_is_not_held) {
    facts.until_target = milliseconds{599};
    BOOST_TEST(!subject.hold(facts));
}

BOOST_AUTO_TEST_CASE(piece_with_a_small_result_is_held_as_before) {
    facts.result_bytes = 6'000;
    facts.until_preferred = milliseconds{300};
    for (const auto slack : {milliseconds{1199}, milliseconds{1200}}) {
        facts.until_target = slack;
        BOOST_TEST(subject.hold(facts) == former.hold(facts));
    }
}

BOOST_AUTO_TEST_CASE(instance_in_the_preferred_domain_is_better_if_the_call_fits) {
    const free_instance near{true, 4e6, 5e6, 4.8e6};
    const free_instance far{false, 1e6, 8e6, 4.8e6};
    BOOST_TEST(subject.is_better(near, far));
    BOOST_TEST(!subject.is_better(far, near));
    BOOST_TEST(former.is_better(far, near));
}

// Guards against smaller calls for the sake of the domain, which cost throughput.
BOOST_AUTO_TEST_CASE(instance_in_the_preferred_domain_without_memory_for_the_call_is_not_better) {
    const free_instance near{true, 6e6, 3e6, 4.8e6};
    const free_instance far{false, 1e6, 8e6, 4.8e6};
    BOOST_TEST(!subject.is_better(near, far));
    BOOST_TEST(subject.is_better(far, near));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
