#pragma once

#include <LibCore/Runtime.h>
#include <LibCore/Settings.h>
#include <LibHTTP/Message.h>
#include <LibHTTP/Server.h>
#include <boost/json/value.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace StandIns {

enum StandInExitCode : int {
    Stopped = 0,
    CannotListen = 1,
    InvalidFlags = 2,
};

/// The elements of a comma-separated list.
[[nodiscard]] std::vector<std::string> splitList(std::string const&);

/// Parses the flags, applies the environment, checks the settings (including --listen, as a list) and configures the log. Prints
/// all errors and returns false if there are any.
[[nodiscard]] bool prepareStandIn(int argc, char** argv, std::function<void(Core::SettingChecker&)> const& checkSettings = {});

/// Logs the line `event=listening interface=... endpoint=...` that TestSupport::ChildProcess::endpoint() reads.
void logListening(std::string_view interface, Core::Endpoint const&);

/// Runs the event loop. Calls onStop on SIGTERM or SIGINT; onStop must stop the loop when it is done.
void runUntilTerminated(Core::Runtime&, std::function<void()> onStop);

/// Listens on --listen, logs the endpoint with the interface name and serves until SIGTERM or SIGINT. Requests in progress then
/// have 500 ms to finish. Returns an exit code.
[[nodiscard]] int serveUntilTerminated(Core::Runtime&, std::string_view interface, HTTP::Handler);

[[nodiscard]] HTTP::Response jsonResponse(unsigned status, boost::json::value const&);

/// A response with the body `{"error": message}`.
[[nodiscard]] HTTP::Response errorResponse(unsigned status, std::string_view message);

/// Parses a request body. Returns nothing if it is not JSON.
[[nodiscard]] std::optional<boost::json::value> parseBody(HTTP::Request const&);

/// Returns a numeric query parameter, or the default if it is missing or not a number.
[[nodiscard]] std::uint64_t queryNumber(HTTP::Request const&, std::string_view name, std::uint64_t defaultValue);

}
