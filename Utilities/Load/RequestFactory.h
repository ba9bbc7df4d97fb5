#pragma once

#include <LibCore/Random.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/Message.h>
#include <Load/Mix.h>
#include <string>

namespace Load {

/// A generated request, ready to send.
struct PlannedRequest {
    HTTP::Request request;
    std::string team;
    std::string idempotencyKey;
    std::string bearerKey;
    /// Tokens of a model request, one of them for the role of each message; the first sharedPrefixTokens are a shared prefix.
    std::uint32_t promptTokens { 0 };
    std::uint32_t sharedPrefixTokens { 0 };

    bool operator==(PlannedRequest const&) const = default;
};

/// Builds a request of a class, with a team drawn by weight and lengths drawn from the class's ranges. Deterministic for a given
/// random state and time. The last word of a prompt is "length=<tokens>", which the engine stand-in takes as its output length.
[[nodiscard]] PlannedRequest buildRequest(Mix const&, RequestClass const&, std::string const& defaultKey, Core::Random&, Core::WallTime);

}
