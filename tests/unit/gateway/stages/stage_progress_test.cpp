#include "gateway/stages/stage_progress.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using std::chrono::milliseconds;

/// Four stages: 0 and 1 have no dependencies, 2 depends on 1, 3 depends on 2.
struct stage_progress_fixture {
    std::vector<gateway::stage_spec> stages{
        {"a", {}, 800'000}, {"a", {}, 8000}, {"b", {1}, 60'000}, {"c", {2}, 6000}};

    static bool never(std::uint32_t /*stage*/) { return false; }

    gateway::stages::stage_progress make(const std::vector<std::uint32_t>& counts) const {
        return {stages, counts};
    }
};

BOOST_FIXTURE_TEST_SUITE(stage_progress_test, stage_progress_fixture)

BOOST_AUTO_TEST_CASE(stages_are_ready_when_their_inputs_are_made) {
    auto progress = make({2, 1, 4, 3});
    BOOST_TEST(progress.take_ready(never) == (std::vector<std::uint32_t>{0, 1}),
               boost::test_tools::per_element());
    BOOST_TEST(progress.take_ready(never).empty());
    progress.complete(1, {"h1"});
    BOOST_TEST(progress.take_ready(never) == (std::vector<std::uint32_t>{2}),
               boost::test_tools::per_element());
    BOOST_TEST(progress.inputs_of(2) == (std::vector<std::string>{"h1"}),
               boost::test_tools::per_element());
}

// Guards against a request that gets inputs of the wrong stage, or only some of them.
BOOST_AUTO_TEST_CASE(request_gets_all_results_of_the_stages_without_dependents) {
    auto progress = make({2, 1, 1, 2});
    progress.take_ready(never);
    progress.complete(0, {"x", "y"});
    progress.complete(1, {"h1"});
    progress.complete(2, {"h2"});
    BOOST_TEST(!progress.done());
    progress.complete(3, {"u", "v"});
    BOOST_TEST(progress.done());
    BOOST_TEST(progress.final_inputs() == (std::vector<std::string>{"x", "y", "u", "v"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(stage_without_pieces_is_skipped) {
    auto progress = make({0, 1, 4, 3});
    BOOST_TEST(progress.take_ready(never) == (std::vector<std::uint32_t>{1}),
               boost::test_tools::per_element());
    BOOST_TEST(make({0, 0, 0, 0}).done());
}

// Guards against the release of results that a stage still needs.
BOOST_AUTO_TEST_CASE(results_are_releasable_only_after_all_their_readers) {
    auto progress = make({0, 1, 1, 1});
    progress.take_ready(never);
    progress.complete(1, {"h1"});
    BOOST_TEST(progress.take_releasable(false).empty());
    progress.complete(2, {"h2"});
    const auto releasable = progress.take_releasable(false);
    BOOST_REQUIRE(releasable.size() == 1U);
    BOOST_TEST(releasable[0].handles.front() == "h1");
    progress.complete(3, {"h3"});
    BOOST_TEST(progress.take_releasable(false).size() == 1U);
    const auto rest = progress.take_releasable(true);
    BOOST_REQUIRE(rest.size() == 1U);
    BOOST_TEST(rest[0].handles.front() == "h3");
}

BOOST_AUTO_TEST_CASE(sole_input_service_with_two_readers_is_empty) {
    BOOST_TEST(make({1, 1, 1, 1}).sole_input_service(2) == "a");
    stages[3].dependencies = {1};
    BOOST_TEST(make({1, 1, 1, 1}).sole_input_service(2).empty());
}

BOOST_AUTO_TEST_CASE(critical_path_end_follows_the_longest_path) {
    const auto progress = make({1, 1, 1, 1});
    const auto duration_of = [](std::uint32_t n, common::duration /*start*/) -> common::duration {
        return milliseconds{n == 0 ? 500 : 200};
    };
    BOOST_TEST((progress.critical_path_end({}, {}, duration_of) == milliseconds{600}));
    BOOST_TEST(
        (progress.critical_path_end(2, milliseconds{100}, duration_of) == milliseconds{300}));
    BOOST_TEST(
        (progress.critical_path_end(3, milliseconds{100}, duration_of) == milliseconds{100}));
}

// Guards against estimates that leave out stages which the operator lists before their inputs: such
// requests would be admitted although their stages cannot be made in time.
BOOST_AUTO_TEST_CASE(critical_path_does_not_depend_on_the_order_of_the_stages) {
    stages = {{"c", {1}, 6000}, {"b", {3}, 60'000}, {"a", {}, 800'000}, {"a", {}, 8000}};
    const auto progress = make({1, 1, 1, 1});
    const auto duration_of = [](std::uint32_t n, common::duration /*start*/) -> common::duration {
        return milliseconds{n == 2 ? 500 : 200};
    };
    BOOST_TEST((progress.critical_path_end({}, {}, duration_of) == milliseconds{600}));
    BOOST_TEST(
        (progress.critical_path_end(1, milliseconds{100}, duration_of) == milliseconds{300}));
    BOOST_TEST(progress.can_defer(2, milliseconds{300}, duration_of));
}

// Guards against a gateway that stops responding: the number of paths grows exponentially with the
// stages.
BOOST_AUTO_TEST_CASE(critical_path_of_many_dependent_stages_is_found_at_once) {
    constexpr std::size_t count = 60;
    stages.clear();
    for (std::size_t n = 0; n < count; ++n) {
        stages.push_back({"a", {}, 1});
        for (std::size_t needed = 0; needed < n; ++needed) {
            stages.back().dependencies.push_back(needed);
        }
    }
    const auto progress = make(std::vector<std::uint32_t>(count, 1));
    std::size_t calls = 0;
    const auto end = progress.critical_path_end(
        {}, {}, [&](std::uint32_t /*n*/, common::duration /*start*/) -> common::duration {
            ++calls;
            return milliseconds{1};
        });
    BOOST_TEST((end == milliseconds{count}));
    BOOST_TEST(calls == count);
}

// Guards against an estimate that ends at a stage without pieces.
BOOST_AUTO_TEST_CASE(critical_path_passes_over_stages_without_pieces) {
    const auto duration_of = [](std::uint32_t /*n*/,
                                common::duration /*start*/) -> common::duration {
        return milliseconds{200};
    };
    BOOST_TEST((make({0, 0, 1, 1}).critical_path_end({}, {}, duration_of) == milliseconds{400}));
}

BOOST_AUTO_TEST_CASE(deferred_stage_is_returned_again) {
    auto progress = make({2, 1, 4, 3});
    BOOST_TEST(progress.take_ready([](std::uint32_t n) { return n == 0; }) ==
                   (std::vector<std::uint32_t>{1}),
               boost::test_tools::per_element());
    BOOST_TEST(progress.take_ready(never) == (std::vector<std::uint32_t>{0}),
               boost::test_tools::per_element());
}

// Guards against large results that occupy memory while the other stages run, and against a request
// that is delayed by a deferred stage.
BOOST_AUTO_TEST_CASE(last_stage_can_be_deferred_if_the_others_take_longer_after_their_next_step) {
    auto progress = make({2, 1, 4, 3});
    const auto duration_of = [](std::uint32_t n, common::duration /*start*/) -> common::duration {
        return milliseconds{n == 0 ? 250 : 200};
    };
    progress.take_ready([](std::uint32_t n) { return n == 0; });
    BOOST_TEST(progress.can_defer(0, {}, duration_of));
    progress.complete(1, {"h1"});
    BOOST_TEST(!progress.can_defer(0, {}, duration_of));
    BOOST_TEST(progress.can_defer(0, milliseconds{200}, duration_of));
    progress.complete(2, {"h2"});
    BOOST_TEST(!progress.can_defer(0, std::chrono::hours{1}, duration_of));
}

// Guards against stages that wait for each other forever.
BOOST_AUTO_TEST_CASE(stages_without_dependents_never_wait_for_each_other) {
    stages = {{"a", {}, 800'000}, {"b", {}, 800'000}};
    const auto progress = make({1, 1});
    const auto duration_of = [](std::uint32_t /*n*/,
                                common::duration /*start*/) -> common::duration {
        return milliseconds{200};
    };
    BOOST_TEST(!progress.can_defer(0, std::chrono::hours{1}, duration_of));
    BOOST_TEST(!progress.can_defer(1, std::chrono::hours{1}, duration_of));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
