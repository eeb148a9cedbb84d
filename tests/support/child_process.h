#pragma once

#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jujubemast::tests {

/// A process started by a test, with its standard output and standard error in a log file. The
/// destructor kills it if it is still running.
class child_process {
public:
    /// Starts a program of the build directory. Throws std::runtime_error if it cannot be started.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  std::string log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal, for example SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void send_signal(int number) const;

    /// Waits until the process has ended. Returns its exit code, or 128 plus the number of the
    /// signal that ended it. Throws std::runtime_error after 60 s.
    int wait();

    [[nodiscard]] bool running();

    /// Waits for the "Listening." log line of the task and returns the address in it.
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

/// Waits until the condition is true. Throws std::runtime_error with the description after 60 s.
void wait_until(const std::string& description, const std::function<bool()>& condition);

} // namespace jujubemast::tests
