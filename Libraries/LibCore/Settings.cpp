#include <LibCore/Settings.h>

#include <LibCore/Endpoint.h>
#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <gflags/gflags.h>

namespace Core {

std::string environmentVariableFor(std::string_view flagName)
{
    std::string variable = "HYSSOPSTEP_";
    for (unsigned char const c : flagName)
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(c));
    return variable;
}

std::vector<std::string> applyEnvironmentToFlags()
{
    std::vector<std::string> errors;
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (auto const& flag : flags) {
        if (!flag.is_default)
            continue;
        auto const variable = environmentVariableFor(flag.name);
        char const* value = std::getenv(variable.c_str());
        if (!value)
            continue;
        if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty())
            errors.push_back("environment variable " + variable + "=\"" + value + "\" is not a valid " + flag.type + " for --" + flag.name);
    }
    return errors;
}

void SettingChecker::checkRange(std::string_view name, std::int64_t value, std::int64_t minimum, std::int64_t maximum, std::string_view unit)
{
    if (value >= minimum && value <= maximum)
        return;
    addError(name, std::to_string(value), std::to_string(minimum) + " to " + std::to_string(maximum) + " " + std::string(unit));
}

void SettingChecker::checkNotEmpty(std::string_view name, std::string_view value, std::string_view expected)
{
    if (value.empty())
        addError(name, value, expected);
}

void SettingChecker::checkEndpoint(std::string_view name, std::string_view value)
{
    Error error;
    if (!parseEndpoint(value, error))
        addError(name, value, "an IP address and a port, such as 127.0.0.1:8080");
}

void SettingChecker::addError(std::string_view name, std::string_view value, std::string_view expected)
{
    m_errors.push_back("--" + std::string(name) + "=\"" + std::string(value) + "\": expected " + std::string(expected));
}

}
