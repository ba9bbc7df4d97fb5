#pragma once

#include <LibCore/Endpoint.h>
#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace TestSupport {

/// Long enough that a busy machine does not exceed it; an operation that takes longer has failed.
inline constexpr std::chrono::seconds defaultTestTimeout { 30 };

/// A process under test. Its standard output and error go to a log file in the temporary directory, which is kept only if the
/// test fails. The destructor kills the process; the kernel kills it if the test program exits first. Not thread safe.
class ChildProcess {
public:
    /// Starts the program; argument 0 is its path. Environment entries "NAME=value" are added to the environment of the test.
    /// Throws std::system_error if the process cannot be started.
    explicit ChildProcess(std::vector<std::string> arguments, std::vector<std::string> environment = {});
    ChildProcess(ChildProcess&&) noexcept;
    ChildProcess& operator=(ChildProcess&&) = delete;
    ~ChildProcess();

    [[nodiscard]] pid_t id() const { return m_id; }

    /// Waits for a log line `event=listening interface=<interface> ... endpoint=<ip:port>` and returns its endpoint. The
    /// index selects among the lines of the interface, counted from 0. Throws std::runtime_error with the log if the process
    /// ends or defaultTestTimeout passes first.
    [[nodiscard]] Core::Endpoint endpoint(std::string_view interface, std::size_t index = 0);

    /// Returns false if the process has ended.
    bool sendSignal(int signal);

    [[nodiscard]] bool isRunning();

    /// Waits for the process to end. Returns its exit code, or the negated number of the signal that ended it, or nothing on a
    /// time-out.
    [[nodiscard]] std::optional<int> waitForExit(std::chrono::milliseconds timeout = defaultTestTimeout);

    /// Sends SIGTERM, then as waitForExit().
    [[nodiscard]] std::optional<int> stop(std::chrono::milliseconds timeout = defaultTestTimeout);

    /// The output of the process so far.
    [[nodiscard]] std::string log() const;

private:
    pid_t m_id { -1 };
    std::optional<int> m_exitCode;
    std::filesystem::path m_logPath;
};

}
