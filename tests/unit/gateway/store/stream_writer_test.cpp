#include "gateway/store/stream_writer.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "adapter.h"
#include "support/loop_server.h"
#include "support/users_store.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;
using std::chrono::milliseconds;

/// A writer whose rows are kept for a short time, and its store.
struct stream_writer_fixture {
    event_loop loop;
    users_store store{loop.executor()};
    bool rejects_writes = false;
    /// Number of removals of rows that the store has got.
    std::size_t removals = 0;
    std::shared_ptr<runtime::task_lifecycle> life = make_lifecycle("streams");
    std::unique_ptr<loop_server> server;
    std::shared_ptr<const adapter> platform =
        std::make_shared<const adapter>(users_platform::make_adapter());
    std::unique_ptr<store_session> session;
    std::unique_ptr<stream_writer> subject;
    std::size_t recorded = 0;

    stream_writer_fixture() {
        server = std::make_unique<loop_server>(
            loop, [this](const http::request& message, const http::responder& reply) {
                removals += boost::json::parse(message.body).at("remove").as_array().size();
                if (rejects_writes) {
                    reply.respond({429, {}, ""});
                } else {
                    store.serve(message, reply);
                }
                return http::disconnect_hook{};
            });
        session = std::make_unique<store_session>(loop.context(life), server->address(), platform);
        subject = std::make_unique<stream_writer>(
            loop.context(life), *session, platform,
            stream_writer_limits{milliseconds{3000}, milliseconds{300}});
    }
    stream_writer_fixture(const stream_writer_fixture&) = delete;
    stream_writer_fixture& operator=(const stream_writer_fixture&) = delete;

    ~stream_writer_fixture() {
        subject->close();
        session->close();
        life->running = false;
        server->close();
        loop.run_ready();
    }

    void record(const std::string& attempt) {
        subject->record({{"s", attempt}, "v1"}, [this](record_outcome outcome) {
            recorded += outcome == record_outcome::recorded ? 1 : 0;
        });
    }

    [[nodiscard]] std::size_t stored() const { return store.keys_of("streams").size(); }

    void run_for(common::duration time) {
        const auto end = common::monotonic_clock::now() + time;
        BOOST_REQUIRE(loop.run_until([&] { return common::monotonic_clock::now() >= end; }));
    }
};

BOOST_FIXTURE_TEST_SUITE(stream_writer_test, stream_writer_fixture)

// Guards against entries that pile up with each write that is made again.
BOOST_AUTO_TEST_CASE(row_whose_write_was_made_again_is_removed_once) {
    rejects_writes = true;
    record("a1");
    run_for(milliseconds{900});
    rejects_writes = false;
    BOOST_REQUIRE(loop.run_until([&] { return stored() == 1; }));
    BOOST_REQUIRE(loop.run_until([&] { return stored() == 0; }));
    run_for(milliseconds{900});
    BOOST_TEST(removals == 1U);
}

// Guards against rows that grow in number for as long as two versions serve.
BOOST_AUTO_TEST_CASE(rows_of_a_busy_gateway_are_removed_after_the_retention_time) {
    constexpr std::size_t count = 2500;
    for (std::size_t n = 0; n < count; ++n) {
        record("a" + std::to_string(n));
    }
    BOOST_REQUIRE(loop.run_until([&] { return stored() == count; }));
    BOOST_REQUIRE(loop.run_until([&] { return stored() == 0; }));
    BOOST_TEST(removals == count);
}

// Guards against memory and calls that grow while the store rejects the removals of this gateway.
BOOST_AUTO_TEST_CASE(row_that_cannot_be_removed_is_left_after_some_calls) {
    record("a1");
    BOOST_REQUIRE(loop.run_until([&] { return stored() == 1; }));
    rejects_writes = true;
    BOOST_REQUIRE(loop.run_until([&] { return removals == 4; }));
    run_for(milliseconds{4000});
    BOOST_TEST(removals == 4U);
}

BOOST_AUTO_TEST_CASE(row_that_the_store_rejects_for_the_retention_time_is_given_up) {
    rejects_writes = true;
    record("a1");
    BOOST_TEST(subject->waiting() <= 1U);
    run_for(milliseconds{4000});
    BOOST_TEST(subject->waiting() == 0U);
    BOOST_TEST(recorded == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
