#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibCore/Settings.h>
#include <LibHTTP/Message.h>
#include <LibHTTP/Server.h>
#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace StandIns {

/// A simulated back end with a listening endpoint. Not thread safe.
class Backend {
public:
    virtual ~Backend() = default;

    /// Binds and starts to accept connections. Returns the bound endpoint.
    [[nodiscard]] virtual std::optional<Core::Endpoint> listen(Core::Endpoint const&, Core::Error&) = 0;

    /// Refuses new work from now on and lets running work finish.
    virtual void leave() = 0;

    /// Waits until no request is in progress or the deadline has passed, then closes all connections.
    [[nodiscard]] virtual Core::Awaitable<void> shutDown(Core::MonotonicTime deadline) = 0;
};

/// Creates the back end with the given index, counted from 0 within the process.
using BackendFactory = std::function<std::unique_ptr<Backend>(Core::Runtime&, unsigned index)>;

/// Parses the flags, starts --count back ends and serves until SIGTERM or SIGINT. Returns the exit code of the process.
int runBackends(int argc, char** argv, std::string_view name, std::function<void(Core::SettingChecker&)> const& checkSettings, BackendFactory const&);

[[nodiscard]] Core::Awaitable<void> sendJson(HTTP::ResponseWriter&, unsigned status, boost::json::object const&);

/// Sends `{"error": message}` with the status.
[[nodiscard]] Core::Awaitable<void> sendError(HTTP::ResponseWriter&, unsigned status, std::string_view message);

/// Milliseconds since the Unix epoch.
[[nodiscard]] std::int64_t unixMilliseconds(Core::WallTime);

/// Return a member of a JSON object, or the default if it is missing or has the wrong type. Any kind of JSON number is converted.
[[nodiscard]] std::int64_t integerMember(boost::json::object const&, std::string_view name, std::int64_t fallback);
[[nodiscard]] double numberMember(boost::json::object const&, std::string_view name, double fallback);
[[nodiscard]] bool booleanMember(boost::json::object const&, std::string_view name);
[[nodiscard]] std::string textMember(boost::json::object const&, std::string_view name);

}
