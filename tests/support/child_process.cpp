#include "support/child_process.h"

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>

namespace jujubemast::tests {

namespace {

constexpr std::chrono::seconds wait_timeout{60};

// A condition on another process can only be polled.
constexpr int poll_interval_ms = 5;

} // namespace

void wait_until(const std::string& description, const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + wait_timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            throw std::runtime_error{"timeout: " + description};
        }
        ::poll(nullptr, 0, poll_interval_ms);
    }
}

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             std::string log_path)
    : m_program{program}, m_log_path{std::move(log_path)} {
    const auto path = std::string{JUJUBEMAST_BINARY_DIR} + "/" + program;
    std::vector<char*> argv{const_cast<char*>(path.c_str())};
    for (const auto& it : arguments) {
        argv.push_back(const_cast<char*>(it.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, m_log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // A child inherits ignored signals. Restoring SIGPIPE starts the program as a shell would.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t defaults;
    sigemptyset(&defaults);
    sigaddset(&defaults, SIGPIPE);
    posix_spawnattr_setsigdefault(&attributes, &defaults);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
    const int error = posix_spawn(&m_id, path.c_str(), &actions, &attributes, argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error{"cannot start " + path};
    }
}

child_process::~child_process() {
    if (running()) {
        send_signal(SIGKILL);
        try {
            wait();
        } catch (const std::exception&) {
            // SIGKILL has been sent, and a destructor must not throw.
        }
    }
}

void child_process::send_signal(int number) const {
    if (!m_ended) {
        ::kill(m_id, number);
    }
}

bool child_process::running() {
    if (m_ended) {
        return false;
    }
    int status = 0;
    if (::waitpid(m_id, &status, WNOHANG) != m_id) {
        return true;
    }
    m_ended = true;
    m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return false;
}

int child_process::wait() {
    wait_until("end of " + m_program, [this] { return !running(); });
    return m_exit_code;
}

std::string child_process::listening_address(const std::string& task) {
    const auto marker = "Listening. task=" + task + " address=";
    std::string address;
    wait_until(m_program + " listens as " + task, [&] {
        if (!running()) {
            throw std::runtime_error{m_program + " has ended:\n" + log()};
        }
        const auto text = log();
        const auto begin = text.find(marker);
        const auto end = text.find('\n', begin);
        if (begin == std::string::npos || end == std::string::npos) {
            return false;
        }
        address = text.substr(begin + marker.size(), end - begin - marker.size());
        return true;
    });
    return address;
}

std::string child_process::log() const {
    const std::ifstream file{m_log_path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace jujubemast::tests
