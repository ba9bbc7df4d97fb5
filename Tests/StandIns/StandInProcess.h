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

/// Parses the flags, applies the environment, checks the settings (--listen among them, as a list) and starts the log. Prints
/// each fault and returns false if there is any.
[[nodiscard]] bool prepareStandIn(int argc, char** argv, std::function<void(Core::SettingChecker&)> const& checkSettings = {});

/// Writes the line `event=listening interface=... endpoint=...` that Tests/Support reads.
void logListening(std::string_view interface, Core::Endpoint const&);

/// Runs the event loop until SIGTERM or SIGINT, then calls onStop, which stops the loop when it is done.
void runUntilTerminated(Core::Runtime&, std::function<void()> onStop);

/// Listens on --listen, logs the endpoint under the interface's name and serves until SIGTERM or SIGINT. Answers in progress
/// get half a second to end. Returns an exit code.
[[nodiscard]] int serveUntilTerminated(Core::Runtime&, std::string_view interface, HTTP::Handler);

[[nodiscard]] HTTP::Response jsonResponse(unsigned status, boost::json::value const&);

/// An answer with `{"error": message}`.
[[nodiscard]] HTTP::Response errorResponse(unsigned status, std::string_view message);

/// Parses a request body; nothing if it is not JSON.
[[nodiscard]] std::optional<boost::json::value> parseBody(HTTP::Request const&);

/// A numeric query parameter, or the default if it is missing or not a number.
[[nodiscard]] std::uint64_t queryNumber(HTTP::Request const&, std::string_view name, std::uint64_t defaultValue);

}
