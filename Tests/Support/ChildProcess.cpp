#include <Support/ChildProcess.h>

#include <Support/WaitUntil.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace TestSupport {

static std::vector<char*> pointersTo(std::vector<std::string>& strings)
{
    std::vector<char*> pointers;
    pointers.reserve(strings.size() + 1);
    for (auto& string : strings)
        pointers.push_back(string.data());
    pointers.push_back(nullptr);
    return pointers;
}

ChildProcess::ChildProcess(std::vector<std::string> arguments, std::vector<std::string> environment)
{
    for (char** entry = environ; *entry; ++entry)
        environment.emplace_back(*entry);
    auto const argumentPointers = pointersTo(arguments);
    auto const environmentPointers = pointersTo(environment);
    auto logTemplate = (std::filesystem::temp_directory_path() / "hyssopstep-test-XXXXXX").string();
    int const logFile = mkostemp(logTemplate.data(), O_APPEND | O_CLOEXEC);
    if (logFile < 0)
        throw std::system_error(errno, std::generic_category(), "cannot create log file " + logTemplate);
    m_logPath = logTemplate;
    auto const parent = getpid();
    m_id = fork();
    if (m_id == 0) {
        // Only async-signal-safe calls are allowed before exec, because the test program may have other threads.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(EXIT_FAILURE);
        dup2(logFile, STDOUT_FILENO);
        dup2(logFile, STDERR_FILENO);
        // Asio opens sockets without close-on-exec, so a connection that the test closes would stay open in the child.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execve(argumentPointers[0], argumentPointers.data(), environmentPointers.data());
        _exit(EXIT_FAILURE);
    }
    auto const forkError = errno;
    close(logFile);
    if (m_id < 0)
        throw std::system_error(forkError, std::generic_category(), "cannot start " + arguments[0]);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_id(std::exchange(other.m_id, -1))
    , m_exitCode(other.m_exitCode)
    , m_logPath(std::move(other.m_logPath))
{
}

ChildProcess::~ChildProcess()
{
    if (m_id < 0)
        return;
    if (isRunning()) {
        kill(m_id, SIGKILL);
        waitpid(m_id, nullptr, 0);
    }
    if (testing::Test::HasFailure()) {
        std::fprintf(stderr, "log of process %d:\n%s\n", m_id, log().c_str());
        return;
    }
    std::error_code ignored;
    std::filesystem::remove(m_logPath, ignored);
}

static std::optional<Core::Endpoint> findEndpoint(std::string const& log, std::string_view interface, std::size_t index)
{
    static constexpr std::string_view key = " endpoint=";
    auto const marker = "event=listening interface=" + std::string(interface) + " ";
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        // The last line may not be complete yet.
        if (lines.eof() || line.find(marker) == std::string::npos || index-- > 0)
            continue;
        auto const begin = line.find(key) + key.size();
        Core::Error ignored;
        return Core::parseEndpoint(line.substr(begin, line.find(' ', begin) - begin), ignored);
    }
    return std::nullopt;
}

Core::Endpoint ChildProcess::endpoint(std::string_view interface, std::size_t index)
{
    std::optional<Core::Endpoint> found;
    bool isAlive = true;
    auto const isDecided = [&] {
        // The state is read before the log, so that a line written just before the process ended is found.
        isAlive = isRunning();
        found = findEndpoint(log(), interface, index);
        return found || !isAlive;
    };
    (void)waitUntil(isDecided);
    if (!found)
        throw std::runtime_error(std::string(isAlive ? "timed out waiting for the process to listen on " : "the process ended before it listened on ") + std::string(interface) + ":\n" + log());
    return *found;
}

bool ChildProcess::sendSignal(int signal)
{
    return isRunning() && kill(m_id, signal) == 0;
}

bool ChildProcess::isRunning()
{
    if (m_exitCode)
        return false;
    int status = 0;
    if (waitpid(m_id, &status, WNOHANG) != m_id)
        return true;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    (void)waitUntil([&] { return !isRunning(); }, timeout);
    return m_exitCode;
}

std::optional<int> ChildProcess::stop(std::chrono::milliseconds timeout)
{
    sendSignal(SIGTERM);
    return waitForExit(timeout);
}

std::string ChildProcess::log() const
{
    std::ifstream file(m_logPath);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}
