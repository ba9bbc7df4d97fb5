#include <LibCore/Log.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

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

void configureLog(LogLevel minimum, std::string const& nodeName)
{
    auto const pattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p node=" + nodeName + " %m%n";
    auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
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

static void appendValue(std::string& line, std::string const& value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (unsigned char const c : value) {
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

void logEvent(LogLevel level, std::string_view event, std::vector<LogField> const& fields)
{
    auto const log4cxxLevel = toLog4cxx(level);
    if (!logger()->isEnabledFor(log4cxxLevel))
        return;
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
