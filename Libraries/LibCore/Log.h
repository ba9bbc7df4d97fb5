#pragma once

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

/// Directs log lines of the given level and above to standard error. Called once at start; not thread safe.
/// The node name is written in each line.
void configureLog(LogLevel minimum, std::string const& nodeName);

/// Writes one line `event=<event> key=value ...`. Values with spaces, quotes, '=' or control characters are quoted.
/// Thread safe.
void logEvent(LogLevel, std::string_view event, std::vector<LogField> const& fields = {});

/// Formats the pairs the way logEvent() writes them. Thread safe.
[[nodiscard]] std::string formatLogLine(std::string_view event, std::vector<LogField> const& fields);

/// Parses "debug", "info", "warning" or "error"; anything else gives Info. Thread safe.
[[nodiscard]] LogLevel logLevelFromName(std::string_view name);

}
