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
    /// For commands whose result is on standard output.
    StandardError,
};

/// Directs log lines of the given level and above to a stream. Called once at start; not thread safe.
/// The node name is written in each line.
void configureLog(LogLevel minimum, std::string const& nodeName, LogStream = LogStream::StandardOutput);

/// Bounds the lines that a process writes. Lines of warnings and errors may use all of it, others leave a part for them.
/// Not thread safe.
struct LogBudget {
    double lines { 0 };
    std::chrono::steady_clock::time_point refilledAt;
    bool started { false };
    /// Lines left out since the last one that was written.
    std::uint64_t dropped { 0 };

    bool operator==(LogBudget const&) const = default;
};

/// Takes one line from the budget, or counts it as dropped.
[[nodiscard]] bool tryConsumeLogLine(LogBudget&, LogLevel, std::chrono::steady_clock::time_point now);

/// Writes one line `event=<event> key=value ...`. Values with spaces, quotes, '=' or control characters are quoted. A line is left
/// out when the budget is used up or the stream does not take it at once; `event=log_lines_dropped` says how many were. Thread safe.
void logEvent(LogLevel, std::string_view event, std::vector<LogField> const& fields = {});

/// Formats the pairs the way logEvent() writes them. Thread safe.
[[nodiscard]] std::string formatLogLine(std::string_view event, std::vector<LogField> const& fields);

/// Parses "debug", "info", "warning" or "error"; anything else gives Info. Thread safe.
[[nodiscard]] LogLevel logLevelFromName(std::string_view name);

}
