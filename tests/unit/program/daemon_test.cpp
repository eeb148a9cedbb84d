#include "program/daemon.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "runtime/task.h"

namespace jujubemast::tests {

namespace {

constexpr int exit_code_of_tree = 7;

/// A daemon exits within milliseconds; this bound only detects one that hangs.
constexpr std::chrono::seconds end_limit{10};

/// Writes a text to standard output without flushing it, then ends the process.
class ending_task final : public runtime::task {
public:
    ending_task(runtime::task_context context, std::string text, std::function<void(int)> exit)
        : m_context{std::move(context)}, m_text{std::move(text)}, m_exit{std::move(exit)} {}

    void start() override {
        m_context.loop().post(m_context.wrap([this] {
            std::cout << m_text;
            m_exit(exit_code_of_tree);
        }));
    }

    void close() noexcept override {}

private:
    runtime::task_context m_context;
    std::string m_text;
    std::function<void(int)> m_exit;
};

} // namespace

/// Runs a daemon in a forked process. The threads that log4cplus started before main do not exist
/// there, so code that waits for them hangs.
struct daemon_fixture {
    settings::setting<std::string> log_level{"log", "level", "info", "level of the log"};
    settings::table table{&log_level};
    std::filesystem::path settings_path = std::filesystem::temp_directory_path() /
                                          ("daemon_test." + std::to_string(getpid()) + ".yaml");
    int read_end = -1;
    int write_end = -1;
    pid_t child = 0;

    daemon_fixture() {
        std::ofstream{settings_path} << "log: {level: info}\n";
        int ends[2];
        BOOST_REQUIRE_EQUAL(pipe(ends), 0);
        read_end = ends[0];
        write_end = ends[1];
    }

    ~daemon_fixture() {
        close(read_end);
        std::filesystem::remove(settings_path);
    }

    daemon_fixture(const daemon_fixture&) = delete;
    daemon_fixture& operator=(const daemon_fixture&) = delete;

    void fill_pipe() const {
        const std::string block(4096, '.');
        BOOST_REQUIRE_EQUAL(fcntl(write_end, F_SETFL, O_NONBLOCK), 0);
        while (write(write_end, block.data(), block.size()) > 0) {
        }
        BOOST_REQUIRE_EQUAL(fcntl(write_end, F_SETFL, 0), 0);
    }

    void start(const program::daemon_tree& tree) {
        // The forked process would otherwise write the buffered output of this one again.
        std::cout.flush();
        std::fflush(nullptr);
        child = fork();
        BOOST_REQUIRE_GE(child, 0);
        if (child == 0) {
            dup2(write_end, STDOUT_FILENO);
            dup2(write_end, STDERR_FILENO);
            close(write_end);
            std::vector<std::string> words{"daemon", "--settings=" + settings_path.string()};
            std::vector<char*> arguments{words[0].data(), words[1].data(), nullptr};
            program::run_daemon(static_cast<int>(words.size()), arguments.data(),
                                {"daemon", "ends at once", table, log_level, tree});
        }
        close(write_end);
    }

    /// Starts a daemon that raises a signal while its tree is built, or none if the signal is zero.
    void start_ending_daemon(const std::string& text = {}, int early_signal = 0) {
        start([=](const runtime::executor& /*loop*/, const runtime::process_hooks& process,
                  const settings::values& /*values*/) {
            if (early_signal != 0) {
                std::raise(early_signal);
            }
            return std::vector<runtime::child_spec>{
                {"ending", [text, exit = process.exit](runtime::task_context context) {
                     return std::make_shared<ending_task>(std::move(context), text, exit);
                 }}};
        });
    }

    /// Returns the exit code, or -1 for a process that does not end in time or is terminated by a
    /// signal.
    int wait_for_end() const {
        const auto deadline = std::chrono::steady_clock::now() + end_limit;
        int status = 0;
        while (waitpid(child, &status, WNOHANG) == 0) {
            if (std::chrono::steady_clock::now() > deadline) {
                kill(child, SIGKILL);
                waitpid(child, &status, 0);
                return -1;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
        }
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    /// Returns what the process wrote; to be called after it has ended.
    std::string output() const {
        std::string text;
        char buf[4096];
        for (auto n = read(read_end, buf, sizeof buf); n > 0; n = read(read_end, buf, sizeof buf)) {
            text.append(buf, static_cast<std::size_t>(n));
        }
        return text;
    }
};

BOOST_FIXTURE_TEST_SUITE(daemon_test, daemon_fixture)

// Guards against a daemon that hangs after its last log line until it is killed.
BOOST_AUTO_TEST_CASE(daemon_when_threads_of_the_log_library_do_not_run_exits) {
    start_ending_daemon();
    BOOST_TEST(wait_for_end() == exit_code_of_tree);
}

// Guards against a daemon that hangs on an invalid setting and so is never restarted.
BOOST_AUTO_TEST_CASE(daemon_when_its_settings_are_invalid_exits_with_the_reason) {
    std::ofstream{settings_path} << "log: {levl: info}\n";
    start_ending_daemon();
    BOOST_TEST(wait_for_end() == static_cast<int>(runtime::exit_code::usage));
    const auto text = output();
    BOOST_TEST(text.find("levl is unknown; did you mean level?") != std::string::npos, text);
}

// Guards against the loss of the last log lines and buffered output when the process exits without
// running static destructors.
BOOST_AUTO_TEST_CASE(daemon_when_it_ends_has_written_its_last_line_and_standard_output) {
    start_ending_daemon("text without a flush");
    BOOST_TEST(wait_for_end() == exit_code_of_tree);
    const auto text = output();
    BOOST_TEST(text.find("process: Process ended. code=7\n") != std::string::npos, text);
    BOOST_TEST(text.find("text without a flush") != std::string::npos, text);
}

// Guards against a process that is terminated by a signal right after its start: the signal
// handlers were installed only after the tree had been built (soak seed 50 with the sources of
// 07fbb39).
BOOST_AUTO_TEST_CASE(daemon_when_signalled_before_its_tree_is_built_is_not_terminated) {
    for (const int signal : {SIGHUP, SIGTERM}) {
        daemon_fixture daemon;
        daemon.start_ending_daemon({}, signal);
        BOOST_TEST(daemon.wait_for_end() >= 0, "signal " << signal);
    }
}

// Guards against an exit that blocks on a reader which has stopped reading.
BOOST_AUTO_TEST_CASE(daemon_when_its_log_is_not_read_exits) {
    fill_pipe();
    start_ending_daemon();
    BOOST_TEST(wait_for_end() == exit_code_of_tree);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
