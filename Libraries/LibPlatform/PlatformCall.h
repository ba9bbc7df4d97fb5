#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/Client.h>
#include <LibHTTP/Message.h>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Platform {

/// Whether a call changes the platform's state, and whether it may be sent again when its connection closes.
enum class CallEffect {
    Read,
    /// A long poll, whose connection the platform closes to say that changes may be missing. It is sent once.
    Watch,
    Write,
};

/// Parses the body of a response. Returns nullopt if it cannot be read.
using ResponseParser = std::optional<boost::json::value> (*)(std::string_view body);

/// Parses a body that is JSON as a whole. Thread safe.
[[nodiscard]] std::optional<boost::json::value> parseJson(std::string_view body);

/// Sends one call to the platform and returns the JSON of its response. Internal to LibPlatform and the platform's adapter.
/// Failures are NotFound (404), StoreConflict (409), StoreVersionExpired (410), StoreValueTooLarge (413), and
/// StoreUnavailable for everything else. The run state of a write is NotRun if no byte was sent or the platform refused the
/// call (404, 409, 413, 429, 503), else Unknown; that of other calls is always NotRun.
[[nodiscard]] Core::Awaitable<std::optional<boost::json::value>> callPlatform(HTTP::Client&, Core::Endpoint, HTTP::Request, CallEffect, Core::MonotonicTime deadline, Core::Error&);

/// The two steps of callPlatform(), for callers that need the headers of every response: sends the call, and returns the JSON of a
/// response.
[[nodiscard]] Core::Awaitable<std::optional<HTTP::Response>> sendToPlatform(HTTP::Client&, Core::Endpoint, HTTP::Request, CallEffect, Core::MonotonicTime deadline, Core::Error&);
[[nodiscard]] std::optional<boost::json::value> decodeResponse(HTTP::Response const&, CallEffect, Core::Error&, ResponseParser = parseJson);

/// Sets the error for a response with a status of 300 or above. Internal to LibPlatform.
std::nullopt_t failForStatus(HTTP::Response const&, CallEffect, Core::Error&);

/// Converts an error of HTTP::Client to StoreUnavailable. Internal to LibPlatform.
std::nullopt_t failForTransport(CallEffect, Core::Error&);

/// The timeout to send with a long poll, so that the response arrives before the caller's deadline.
[[nodiscard]] std::chrono::milliseconds longPollTimeout(Core::MonotonicTime now, Core::MonotonicTime deadline);

}
