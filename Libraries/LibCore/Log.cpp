#include <LibCore/Log.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Core {

LogField::LogField(std::string_view fieldKey, std::string_view fieldValue)
    : key(fieldKey)
    , value(fieldValue)
{
}

LogField::LogField(std::string_view fieldKey, char const* fieldValue)
    : key(fieldKey)
    , value(fieldValue)
{
}

LogField::LogField(std::string_view fieldKey, std::string const& fieldValue)
    : key(fieldKey)
    , value(fieldValue)
{
}

LogField::LogField(std::string_view fieldKey, std::int64_t fieldValue)
    : key(fieldKey)
    , value(std::to_string(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, std::uint64_t fieldValue)
    : key(fieldKey)
    , value(std::to_string(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, int fieldValue)
    : key(fieldKey)
    , value(std::to_string(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, unsigned fieldValue)
    : key(fieldKey)
    , value(std::to_string(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, double fieldValue)
    : key(fieldKey)
{
    char buffer[32];
    std::snprintf(buffer, sizeof(buffer), "%.6g", fieldValue);
    value = buffer;
}

static log4cxx::LoggerPtr const& logger()
{
    static log4cxx::LoggerPtr const instance = log4cxx::Logger::getLogger("hyssopstep");
    return instance;
}

static log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

static std::atomic<int> logDescriptor { STDERR_FILENO };

void configureLog(LogLevel minimum, std::string const& nodeName, LogStream stream)
{
    auto const pattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p node=" + nodeName + " %m%n";
    auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    bool const isOutput = stream == LogStream::StandardOutput;
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, isOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr());
    logDescriptor = isOutput ? STDOUT_FILENO : STDERR_FILENO;
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(toLog4cxx(minimum));
}

static bool needsQuotes(std::string const& value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
        return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
    });
}

// With what the layout adds and the names of the fields, less than PIPE_BUF bytes.
static constexpr std::size_t maximumLineBytes = 3500;
// Leaves room for the fields after a long one.
static constexpr std::size_t maximumValueBytes = 1000;

// Cuts a value that is too long.
static void appendValue(std::string& line, std::string const& value)
{
    auto const end = std::max(std::min(line.size() + maximumValueBytes, maximumLineBytes), line.size());
    if (!needsQuotes(value)) {
        auto const length = std::min(value.size(), end - line.size());
        line.append(value, 0, length);
        line += length < value.size() ? "..." : "";
        return;
    }
    line += '"';
    for (unsigned char const c : value) {
        if (line.size() >= end) {
            line += "...";
            break;
        }
        if (c == '"' || c == '\\') {
            line += '\\';
            line += static_cast<char>(c);
        } else if (c < ' ' || c == 0x7f) {
            char buffer[8];
            std::snprintf(buffer, sizeof(buffer), "\\x%02x", c);
            line += buffer;
        } else {
            line += static_cast<char>(c);
        }
    }
    line += '"';
}

std::string formatLogLine(std::string_view event, std::vector<LogField> const& fields)
{
    std::string line = "event=";
    line += event;
    for (auto const& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

bool tryConsumeLogLine(LogBudget& budget, LogLevel level, std::chrono::steady_clock::time_point now)
{
    // At the design load, a node handles about ten requests per second and logs one line for each.
    static constexpr double linesPerSecond = 200;
    static constexpr double maximumLines = 1000;
    static constexpr double reservedLines = 200;
    double const elapsed = std::chrono::duration<double>(now - budget.refilledAt).count();
    budget.lines = budget.started ? std::min(maximumLines, budget.lines + elapsed * linesPerSecond) : maximumLines;
    budget.refilledAt = now;
    budget.started = true;
    double const needed = level == LogLevel::Warning || level == LogLevel::Error ? 1 : reservedLines + 1;
    if (budget.lines < needed) {
        ++budget.dropped;
        return false;
    }
    budget.lines -= 1;
    return true;
}

// poll() reports a pipe as writable if it has room for PIPE_BUF bytes, which is more than a log line.
static bool isWritable(int descriptor)
{
    pollfd entry { .fd = descriptor, .events = POLLOUT, .revents = 0 };
    return poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
}

void logEvent(LogLevel level, std::string_view event, std::vector<LogField> const& fields)
{
    auto const log4cxxLevel = toLog4cxx(level);
    if (!logger()->isEnabledFor(log4cxxLevel))
        return;
    static std::mutex mutex;
    static LogBudget budget;
    std::scoped_lock const lock(mutex);
    if (!tryConsumeLogLine(budget, level, std::chrono::steady_clock::now()))
        return;
    if (!isWritable(logDescriptor)) {
        ++budget.dropped;
        return;
    }
    if (auto const dropped = std::exchange(budget.dropped, 0); dropped > 0)
        logger()->forcedLog(toLog4cxx(LogLevel::Warning), formatLogLine("log_lines_dropped", { { "count", std::uint64_t(dropped) } }));
    logger()->forcedLog(log4cxxLevel, formatLogLine(event, fields));
}

LogLevel logLevelFromName(std::string_view name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    if (name == "error")
        return LogLevel::Error;
    return LogLevel::Info;
}

}
