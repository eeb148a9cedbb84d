#pragma once

#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jujubemast::tests {

/// A process started by a test, with its log in a file. Killed by its id when the test ends.
class child_process {
public:
    /// Starts a program of the build folder. Throws std::runtime_error when it cannot be started.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  std::string log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal, for example SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void send_signal(int number) const;

    /// Waits for the end of the process. Returns its exit code, or 128 plus the signal's number.
    /// Throws std::runtime_error after 60 s.
    int wait();

    [[nodiscard]] bool running();

    /// Waits for a log line "Listening." of this task and returns its address.
    [[nodiscard]] std::string listening_address(const std::string& task);

    [[nodiscard]] std::string log() const;
    [[nodiscard]] pid_t id() const { return m_id; }

private:
    std::string m_program;
    std::string m_log_path;
    pid_t m_id = 0;
    bool m_ended = false;
    int m_exit_code = 0;
};

/// Waits until the condition holds, for at most 60 s; throws std::runtime_error with the
/// description when it does not.
void wait_until(const std::string& description, const std::function<bool()>& condition);

} // namespace jujubemast::tests
