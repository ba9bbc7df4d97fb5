#pragma once

#include <LibCore/ErrorKind.h>
#include <string>
#include <string_view>
#include <vector>

namespace Core {

/// The environment variable of a flag: HYSSOPSTEP_ and the flag's name in upper case.
[[nodiscard]] std::string environmentVariableFor(std::string_view flagName);

/// Sets each gflags flag that was not given on the command line from its environment variable, if that exists.
/// Returns one line for each value that does not parse. Call after ParseCommandLineFlags; not thread safe.
[[nodiscard]] std::vector<std::string> applyEnvironmentToFlags();

/// Collects one line for each invalid setting (name, value, expected range, unit). Not thread safe.
class SettingChecker {
public:
    /// Checks minimum <= value <= maximum.
    void checkRange(std::string_view name, std::int64_t value, std::int64_t minimum, std::int64_t maximum, std::string_view unit);

    /// Checks that the value is not empty.
    void checkNotEmpty(std::string_view name, std::string_view value, std::string_view expected);

    /// Checks that the value is an IP address and a port, for example 127.0.0.1:8080 or [::1]:8080.
    void checkEndpoint(std::string_view name, std::string_view value);

    /// Adds a line for an error that no other check covers.
    void addError(std::string_view name, std::string_view value, std::string_view expected);

    [[nodiscard]] std::vector<std::string> const& errors() const { return m_errors; }

private:
    std::vector<std::string> m_errors;
};

}
