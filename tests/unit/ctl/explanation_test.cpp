#include "ctl/explanation.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::ctl;

struct explanation_fixture {
    std::vector<log_line> lines;

    void add(const std::string& file, const std::string& text) {
        std::istringstream stream{text + "\n"};
        read_log(file, stream, lines);
    }
};

BOOST_FIXTURE_TEST_SUITE(explanation_test, explanation_fixture)

BOOST_AUTO_TEST_CASE(log_line_when_collector_adds_a_prefix_is_parsed_from_its_time) {
    log_line line;
    BOOST_TEST(parse_log_line(
        "12.5 front-1 2026-12-04T11:40:10.123 WARN  forwarder: Attempt failed. attempt=a "
        "detail=\"end of stream\" step=fail",
        line));
    BOOST_TEST(line.time == "2026-12-04T11:40:10.123");
    BOOST_TEST(line.component == "forwarder");
    BOOST_TEST(field_of(line, "detail") == "end of stream");
    BOOST_TEST(field_of(line, "step") == "fail");
    BOOST_TEST(field_of(line, "absent").empty());
}

// Guards against a crash on a file with other content than log lines.
BOOST_AUTO_TEST_CASE(log_line_when_text_is_not_a_log_line_is_rejected) {
    log_line line;
    for (const auto* text :
         {"", "terminate called", "2026-12-04T11:40:10.123", "2026-12-04T11:40:10.123 WARN",
          "2026-12-04T11:40:10.123 WARN  part"}) {
        BOOST_TEST(!parse_log_line(text, line));
    }
}

// Guards against explaining a failure by the last line only, which reports the response but not its
// cause.
BOOST_AUTO_TEST_CASE(explanation_when_request_failed_selects_its_last_failure) {
    add("b.log", "2026-12-04T10:00:01.300 WARN  forwarder: Request ended. attempt=x end=failed "
                 "status=502 sends=1 ms=18 reason=\"end of stream\"");
    add("a.log", "2026-12-04T10:00:01.290 WARN  forwarder: Attempt failed. attempt=x upstream=i-1 "
                 "end=broken step=fail");
    add("a.log",
        "2026-12-04T10:00:01.295 WARN  forwarder: Attempt failed. attempt=xy upstream=i-2");
    const auto found = explain("x", lines);
    BOOST_TEST(found.lines.size() == 2U);
    BOOST_TEST(field_of(found.decisive_line, "step") == "fail");
    BOOST_TEST(found.summary.find("status 502") != std::string::npos);
    BOOST_TEST(found.summary.find("i-1") != std::string::npos);
}

// Guards against selecting a failed attempt although a retry succeeded.
BOOST_AUTO_TEST_CASE(explanation_when_request_succeeded_selects_its_end) {
    add("a.log", "2026-12-04T10:00:01.290 WARN  forwarder: Attempt failed. attempt=x step=retry");
    add("a.log", "2026-12-04T10:00:01.300 INFO  forwarder: Request ended. attempt=x end=answered "
                 "status=200 sends=2 ms=40 reason=");
    BOOST_TEST(field_of(explain("x", lines).decisive_line, "end") == "answered");
}

// Guards against showing log lines of other processes or of a much earlier time as the cause.
BOOST_AUTO_TEST_CASE(explanation_when_process_logged_state_changes_shows_recent_ones) {
    add("a.log", "2026-12-04T10:00:00.000 INFO  catalog: Upstream is gone. upstream=early");
    add("a.log", "2026-12-04T10:00:08.000 INFO  catalog: Upstream is gone. upstream=near");
    add("b.log", "2026-12-04T10:00:08.000 INFO  catalog: Upstream is gone. upstream=elsewhere");
    add("a.log", "2026-12-04T10:00:09.000 WARN  forwarder: Request ended. attempt=x end=refused");
    add("a.log", "2026-12-04T10:00:09.500 INFO  catalog: Upstream is gone. upstream=later");
    const auto found = explain("x", lines);
    BOOST_TEST_REQUIRE(found.context_lines.size() == 1U);
    BOOST_TEST(field_of(found.context_lines.front(), "upstream") == "near");
}

BOOST_AUTO_TEST_CASE(explanation_when_end_is_not_logged_has_no_summary) {
    add("a.log", "2026-12-04T10:00:08.000 INFO  forwarder: Sent. attempt=x upstream=i-1 send=1");
    BOOST_TEST(explain("x", lines).summary.empty());
    BOOST_TEST(explain("unknown", lines).lines.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
