#pragma once

#include <LibCore/Endpoint.h>
#include <LibHTTP/Message.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Forward {

/// A part of a prompt that other requests may share.
struct PromptPart {
    std::string id;
    std::uint32_t tokens { 0 };

    bool operator==(PromptPart const&) const = default;
};

struct TokenCounts {
    std::uint64_t promptTokens { 0 };
    std::uint64_t maximumOutputTokens { 0 };

    bool operator==(TokenCounts const&) const = default;
};

/// What a client says about its request.
struct RequestAttributes {
    /// Names one attempt of a client; empty if the client gave none.
    std::string attemptId;
    /// How long the client will wait from now on.
    std::optional<std::chrono::milliseconds> timeLeft;
    /// The team's key; empty if there is none.
    std::string key;
    std::optional<TokenCounts> tokens;
    /// The parts of the prompt in order.
    std::vector<PromptPart> prompt;
    /// The id of the last event that the client has of a stream it continues.
    std::optional<std::uint64_t> lastEventId;

    bool operator==(RequestAttributes const&) const = default;
};

/// What a backend server is told besides the client's own request.
struct ForwardAttributes {
    std::chrono::milliseconds timeLeft { 0 };
    /// Another server that has the address now refuses the request.
    std::string serverId;
    /// Empty for a request without a team.
    std::string team;
    /// From 0 (first) to 9; engines start more urgent requests first.
    std::optional<std::uint32_t> priority;
    /// Where a stream that broke off is continued.
    std::optional<std::uint64_t> lastEventId;
    /// A server that probably keeps the beginning of the prompt in its cache, from which the server may copy it.
    std::optional<Core::Endpoint> cacheSource;

    bool operator==(ForwardAttributes const&) const = default;
};

/// A server's load as its answers state it.
struct ServerLoad {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };

    bool operator==(ServerLoad const&) const = default;
};

struct ResponseAttributes {
    std::string attemptId;
    /// The server states that the request was not executed and never will be.
    bool isNotExecuted { false };
    /// Whether the answer bears a server's signature.
    bool isSigned { false };
    std::optional<ServerLoad> load;

    bool operator==(ResponseAttributes const&) const = default;
};

/// Translates between the platform's headers and the types above. Implementations are stateless and thread safe.
class RequestCodec {
public:
    virtual ~RequestCodec() = default;

    [[nodiscard]] virtual RequestAttributes decodeRequest(HTTP::Request const&) const = 0;

    /// The request as a backend server gets it: without the key, the headers of one connection, and headers that only this
    /// system may set.
    [[nodiscard]] virtual HTTP::Request encodeForward(HTTP::Request const&, ForwardAttributes const&) const = 0;

    [[nodiscard]] virtual ResponseAttributes decodeResponse(unsigned status, HTTP::Headers const&) const = 0;

    /// The headers of a server's answer that its client gets.
    [[nodiscard]] virtual HTTP::Headers filterResponseHeaders(HTTP::Headers const&) const = 0;

    /// Names the attempt in an answer of this system, and says when the client may come again.
    virtual void addErrorHeaders(HTTP::Response&, std::string const& attemptId, std::optional<std::chrono::milliseconds> retryAfter) const = 0;
};

}
