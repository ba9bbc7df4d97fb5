#include <LibPlatform/PlatformCall.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>

namespace Platform {

using Core::Error;
using Core::ErrorKind;
using Core::RunState;

static RunState ambiguousRunState(CallEffect effect)
{
    return effect == CallEffect::Write ? RunState::Unknown : RunState::NotRun;
}

static std::optional<std::chrono::milliseconds> parseRetryAfter(HTTP::Response const& response)
{
    auto const text = response.headers.find("Retry-After");
    unsigned seconds = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

std::nullopt_t failForStatus(HTTP::Response const& response, CallEffect effect, Error& error)
{
    auto const message = "the platform responded with status " + std::to_string(response.status);
    switch (response.status) {
    case 404:
        return Core::fail(error, ErrorKind::NotFound, message);
    case 409:
        return Core::fail(error, ErrorKind::StoreConflict, message);
    case 410:
        return Core::fail(error, ErrorKind::StoreVersionExpired, message);
    case 413:
        return Core::fail(error, ErrorKind::StoreValueTooLarge, message);
    case 429:
    case 503:
        Core::fail(error, ErrorKind::StoreUnavailable, message);
        error.retryAfter = parseRetryAfter(response);
        return std::nullopt;
    default:
        return Core::fail(error, ErrorKind::StoreUnavailable, message, ambiguousRunState(effect));
    }
}

std::nullopt_t failForTransport(CallEffect effect, Error& error)
{
    auto const runState = effect == CallEffect::Write ? error.runState : RunState::NotRun;
    return Core::fail(error, ErrorKind::StoreUnavailable, "the platform is unreachable: " + error.message, runState);
}

// With ConnectionUse::Pooled, HTTP::Client sends a request again if its idle connection was closed. A second copy of a write would
// conflict with the first and be reported as not run although the write took effect.
static HTTP::ConnectionUse connectionUse(CallEffect effect)
{
    switch (effect) {
    case CallEffect::Read:
        return HTTP::ConnectionUse::Pooled;
    case CallEffect::Watch:
        return HTTP::ConnectionUse::PooledNoRetry;
    case CallEffect::Write:
        break;
    }
    return HTTP::ConnectionUse::NewConnection;
}

std::optional<boost::json::value> parseJson(std::string_view body)
{
    boost::json::error_code errorCode;
    auto value = boost::json::parse({ body.data(), body.size() }, errorCode);
    if (errorCode)
        return std::nullopt;
    return value;
}

Core::Awaitable<std::optional<HTTP::Response>> sendToPlatform(HTTP::Client& client, Core::Endpoint platform, HTTP::Request request, CallEffect effect, Core::MonotonicTime deadline, Error& error)
{
    auto response = co_await client.send(platform, std::move(request), connectionUse(effect), deadline, error);
    if (!response) {
        // Idle connections of the same time may have gone silent as well.
        client.closeIdleConnections(platform);
        co_return failForTransport(effect, error);
    }
    co_return response;
}

std::optional<boost::json::value> decodeResponse(HTTP::Response const& response, CallEffect effect, Error& error, ResponseParser parse)
{
    if (response.status >= 300)
        return failForStatus(response, effect, error);
    auto value = parse(response.body);
    if (!value)
        return Core::fail(error, ErrorKind::StoreUnavailable, "the platform's response is not JSON", ambiguousRunState(effect));
    return value;
}

Core::Awaitable<std::optional<boost::json::value>> callPlatform(HTTP::Client& client, Core::Endpoint platform, HTTP::Request request, CallEffect effect, Core::MonotonicTime deadline, Error& error)
{
    auto const response = co_await sendToPlatform(client, std::move(platform), std::move(request), effect, deadline, error);
    if (!response)
        co_return std::nullopt;
    co_return decodeResponse(*response, effect, error);
}

std::chrono::milliseconds longPollTimeout(Core::MonotonicTime now, Core::MonotonicTime deadline)
{
    // Covers the round trip and a delay of a few hundred milliseconds in the platform.
    static constexpr Core::Duration maximumMargin = std::chrono::milliseconds(500);
    if (deadline <= now)
        return std::chrono::milliseconds(0);
    auto const remaining = deadline - now;
    return std::chrono::duration_cast<std::chrono::milliseconds>(remaining - std::min(maximumMargin, remaining / 2));
}

}
