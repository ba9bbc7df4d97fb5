#include <LibPlatform/PlatformCall.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>

namespace Platform {

using Core::Error;
using Core::ErrorKind;
using Core::RunState;

static RunState uncertain(CallEffect effect)
{
    return effect == CallEffect::Write ? RunState::Unknown : RunState::NotRun;
}

static std::optional<std::chrono::milliseconds> retryAfterOf(HTTP::Response const& response)
{
    auto const text = response.headers.find("Retry-After");
    unsigned seconds = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

std::nullopt_t failForStatus(HTTP::Response const& response, CallEffect effect, Error& reason)
{
    auto const message = "the platform answered " + std::to_string(response.status);
    switch (response.status) {
    case 404:
        return Core::fail(reason, ErrorKind::NotFound, message);
    case 409:
        return Core::fail(reason, ErrorKind::StoreConflict, message);
    case 410:
        return Core::fail(reason, ErrorKind::StoreVersionExpired, message);
    case 413:
        return Core::fail(reason, ErrorKind::StoreValueTooLarge, message);
    case 429:
    case 503:
        Core::fail(reason, ErrorKind::StoreUnavailable, message);
        reason.retryAfter = retryAfterOf(response);
        return std::nullopt;
    default:
        return Core::fail(reason, ErrorKind::StoreUnavailable, message, uncertain(effect));
    }
}

std::nullopt_t failForTransport(CallEffect effect, Error& reason)
{
    auto const runState = effect == CallEffect::Write ? reason.runState : RunState::NotRun;
    return Core::fail(reason, ErrorKind::StoreUnavailable, "the platform is unreachable: " + reason.message, runState);
}

Core::Awaitable<std::optional<boost::json::value>> callPlatform(HTTP::Client& client, Core::Endpoint platform, HTTP::Request request, CallEffect effect, Core::MonotonicTime deadline, Error& reason)
{
    // HTTP::Client repeats a request whose idle connection turns out to be closed. A repeated write would conflict with itself
    // and be reported as not run although it took effect.
    auto const use = effect == CallEffect::Write ? HTTP::ConnectionUse::Fresh : HTTP::ConnectionUse::Pooled;
    auto const response = co_await client.send(std::move(platform), std::move(request), use, deadline, reason);
    if (!response)
        co_return failForTransport(effect, reason);
    if (response->status >= 300)
        co_return failForStatus(*response, effect, reason);
    boost::json::error_code error;
    auto value = boost::json::parse(response->body, error);
    if (error)
        co_return Core::fail(reason, ErrorKind::StoreUnavailable, "the platform's answer is not JSON", uncertain(effect));
    co_return value;
}

std::chrono::milliseconds serverSideWait(Core::MonotonicTime now, Core::MonotonicTime deadline)
{
    // Covers the round trip and a platform that is a few hundred milliseconds slow.
    static constexpr Core::Duration longestMargin = std::chrono::milliseconds(500);
    if (deadline <= now)
        return std::chrono::milliseconds(0);
    auto const remaining = deadline - now;
    return std::chrono::duration_cast<std::chrono::milliseconds>(remaining - std::min(longestMargin, remaining / 2));
}

}
