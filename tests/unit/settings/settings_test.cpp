#include "settings/settings.h"

#include <string>

#include <boost/test/unit_test.hpp>

#include "common/error.h"

namespace jujubemast::tests {

struct settings_fixture {
    settings::setting<std::string> name{"instance", "name", "", "a name", true};
    settings::setting<std::int64_t> limit{"queue",   "limit", 10,
                                          "a limit", false,   settings::check_positive};
    settings::setting<std::chrono::milliseconds> wait{"queue", "wait_ms",
                                                      std::chrono::milliseconds{5}, "a wait"};
    settings::table table{&name, &limit, &wait};

    std::string errors(const std::string& text) {
        try {
            settings::parse(table, text, "test.yaml");
            return {};
        } catch (const common::settings_error& e) {
            return e.what();
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(settings_test, settings_fixture)

BOOST_AUTO_TEST_CASE(settings_when_key_is_absent_give_the_default) {
    const auto values = settings::parse(table, "instance: {name: one}", "test.yaml");
    BOOST_TEST(values.get(limit) == 10);
    BOOST_TEST(values.get(wait).count() == 5);
    BOOST_TEST(values.get(name) == "one");
}

// Guards against operators who have to correct and restart once for every error.
BOOST_AUTO_TEST_CASE(settings_when_several_are_wrong_report_all_with_line_and_key) {
    const auto text = errors("queue:\n  limit: -1\n  wait_ms: soon\n");
    BOOST_TEST(text == "test.yaml:1: instance.name is required\n"
                       "test.yaml:2: queue.limit must be positive\n"
                       "test.yaml:3: queue.wait_ms has a value of the wrong type");
}

// Guards against misspelt keys that silently leave the default in effect.
BOOST_AUTO_TEST_CASE(settings_when_key_is_unknown_name_the_nearest) {
    const auto text = errors("instance: {name: one}\nqueue:\n  limits: 3\n");
    BOOST_TEST(text == "test.yaml:3: limits is unknown; did you mean limit?");
}

BOOST_AUTO_TEST_CASE(settings_when_yaml_is_malformed_report_the_line) {
    BOOST_TEST(errors("a: [").starts_with("test.yaml:"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
