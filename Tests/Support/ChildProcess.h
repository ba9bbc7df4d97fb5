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

/// Enough for a busy machine; a test that waits this long has failed.
inline constexpr std::chrono::seconds defaultTestTimeout { 30 };

/// A process under test. Its standard output and error go to a log file in a temporary directory, which is kept only if the
/// test fails. Not thread safe. The destructor kills the process; the kernel does so if the test program dies first.
class ChildProcess {
public:
    /// Starts the program with the arguments; argument 0 is the program's path. Environment entries "NAME=value" are added to
    /// the test's own. Throws std::system_error if the process cannot be started.
    explicit ChildProcess(std::vector<std::string> arguments, std::vector<std::string> environment = {});
    ChildProcess(ChildProcess&&) noexcept;
    ChildProcess& operator=(ChildProcess&&) = delete;
    ~ChildProcess();

    [[nodiscard]] pid_t id() const { return m_id; }

    /// Waits for a log line `event=listening interface=<interface> ... endpoint=<ip:port>` and returns its endpoint; with an
    /// index, that of the line that follows so many others of the interface. Throws std::runtime_error with the log if the
    /// process ends or the generous timeout passes first.
    [[nodiscard]] Core::Endpoint endpoint(std::string_view interface, std::size_t index = 0);

    /// Sends a signal. Returns false if the process has ended.
    bool sendSignal(int signal);

    /// Whether the process has not ended.
    [[nodiscard]] bool isRunning();

    /// Waits for the process to end. Returns its exit code, or minus the signal that ended it; nothing if the timeout passes.
    [[nodiscard]] std::optional<int> waitForExit(std::chrono::milliseconds timeout = defaultTestTimeout);

    /// Sends SIGTERM and waits for the process to end, as waitForExit().
    [[nodiscard]] std::optional<int> stop(std::chrono::milliseconds timeout = defaultTestTimeout);

    /// Everything the process has written so far.
    [[nodiscard]] std::string log() const;

private:
    pid_t m_id { -1 };
    std::optional<int> m_exitCode;
    std::filesystem::path m_logPath;
};

}
