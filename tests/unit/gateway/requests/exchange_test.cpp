#include "gateway/requests/exchange.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using gateway::repeatability;
using gateway::requests::exchange;

/// Requests of a route whose streams can be resumed.
struct exchange_fixture {
    gateway::route matched_route{.kind = repeatability::stream, .resumable = true};
    exchange begins;
    exchange resumes;

    exchange_fixture() {
        for (auto* it : {&begins, &resumes}) {
            it->matched_route = &matched_route;
            it->priority = 1;
        }
        resumes.request.last_event = 3;
    }
};

BOOST_FIXTURE_TEST_SUITE(exchange_test, exchange_fixture)

// Guards against LOST of issue 54: streams that callers take up again stand behind all new ones.
BOOST_AUTO_TEST_CASE(request_that_resumes_a_stream_ranks_before_new_ones_of_its_priority) {
    BOOST_TEST(resumes.rank() < begins.rank());
    begins.priority = 0;
    BOOST_TEST(begins.rank() < resumes.rank());
}

BOOST_AUTO_TEST_CASE(stream_whose_events_the_caller_has_ranks_before_new_ones) {
    const auto before = begins.rank();
    begins.relaying = true;
    BOOST_TEST(begins.rank() < before);
}

// Guards against a header that moves a request ahead where nothing can be resumed.
BOOST_AUTO_TEST_CASE(request_of_a_route_without_resumption_does_not_rank_first) {
    matched_route.resumable = false;
    BOOST_TEST(resumes.rank() == begins.rank());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
