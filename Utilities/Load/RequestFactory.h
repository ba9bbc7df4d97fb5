#pragma once

#include <LibCore/Random.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/Message.h>
#include <Load/Mix.h>
#include <string>

namespace Load {

/// One request as it is sent.
struct PlannedRequest {
    HTTP::Request request;
    std::string team;
    std::string idempotencyKey;
    std::string bearerKey;
    /// Of a model request, with a token for the role of each message; the first sharedPrefixTokens are those of a prefix group.
    std::uint32_t promptTokens { 0 };
    std::uint32_t sharedPrefixTokens { 0 };

    bool operator==(PlannedRequest const&) const = default;
};

/// Builds a request of a class: the team by weight, the lengths by the class's ranges. The same random state and time give the
/// same request. The last word of a prompt is "length=<tokens>", which the engine stand-in takes as its output length.
[[nodiscard]] PlannedRequest buildRequest(Mix const&, RequestClass const&, std::string const& defaultKey, Core::Random&, Core::WallTime);

}
