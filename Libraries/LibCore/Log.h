#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Core {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// One key=value pair of a log line.
struct LogField {
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, char const* value);
    LogField(std::string_view key, std::string const& value);
    LogField(std::string_view key, std::int64_t value);
    LogField(std::string_view key, std::uint64_t value);
    LogField(std::string_view key, int value);
    LogField(std::string_view key, unsigned value);
    LogField(std::string_view key, double value);

    std::string_view key;
    std::string value;
};

enum class LogStream {
    StandardOutput,
    /// For commands that print their result to standard output.
    StandardError,
};

/// Writes log lines of the given level and above to a stream, each with the node name. Called once at startup; not thread safe.
void configureLog(LogLevel minimum, std::string const& nodeName, LogStream = LogStream::StandardOutput);

/// A token bucket that limits the rate of log lines. A part is reserved for warnings and errors. Not thread safe.
struct LogBudget {
    double lines { 0 };
    std::chrono::steady_clock::time_point refilledAt;
    bool started { false };
    /// Lines dropped since the last one written.
    std::uint64_t dropped { 0 };

    bool operator==(LogBudget const&) const = default;
};

/// Consumes one line of the budget; if none is left, counts the line as dropped and returns false.
[[nodiscard]] bool tryConsumeLogLine(LogBudget&, LogLevel, std::chrono::steady_clock::time_point now);

/// Writes one line `event=<event> key=value ...`. Values with spaces, quotes, '=' or control characters are quoted. A line is
/// dropped if the budget is exhausted or writing would block; `event=log_lines_dropped` reports how many were. Thread safe.
void logEvent(LogLevel, std::string_view event, std::vector<LogField> const& fields = {});

/// Formats the pairs the way logEvent() writes them; values are cut if the line becomes longer than fits into a pipe at once. Thread safe.
[[nodiscard]] std::string formatLogLine(std::string_view event, std::vector<LogField> const& fields);

/// Parses "debug", "info", "warning" or "error"; anything else gives Info. Thread safe.
[[nodiscard]] LogLevel logLevelFromName(std::string_view name);

}
