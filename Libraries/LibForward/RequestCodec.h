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

/// Request metadata that the client sends in headers.
struct RequestAttributes {
    /// Identifies one attempt of a client; empty if the client sent none.
    std::string attemptId;
    /// Time until the client's deadline.
    std::optional<std::chrono::milliseconds> timeLeft;
    /// The team's key; empty if there is none.
    std::string key;
    std::optional<TokenCounts> tokens;
    /// The parts of the prompt in order.
    std::vector<PromptPart> prompt;
    /// The id of the last event that the client received, if it resumes a stream.
    std::optional<std::uint64_t> lastEventId;

    bool operator==(RequestAttributes const&) const = default;
};

/// Metadata that is added to a request for a backend server.
struct ForwardAttributes {
    std::chrono::milliseconds timeLeft { 0 };
    /// The intended server. A different server that has taken over the address refuses the request.
    std::string serverId;
    /// Empty for a request without a team.
    std::string team;
    /// From 0 (highest) to 9; engines start requests of higher priority first.
    std::optional<std::uint32_t> priority;
    /// The id of the last event sent to the client, if an interrupted stream is resumed.
    std::optional<std::uint64_t> lastEventId;
    /// A server that probably has the beginning of the prompt in its cache; the backend server may copy it from there.
    std::optional<Core::Endpoint> cacheSource;

    bool operator==(ForwardAttributes const&) const = default;
};

/// A server's load as reported in its responses.
struct ServerLoad {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };
    /// How fast the server presently is: 100 as usual, 200 if everything takes twice as long; empty if it doesn't say.
    std::optional<std::uint32_t> pacePercent {};

    bool operator==(ServerLoad const&) const = default;
};

struct ResponseAttributes {
    std::string attemptId;
    /// The server states that the request was not executed and never will be.
    bool isNotExecuted { false };
    /// Whether the response carries a server's signature.
    bool isSigned { false };
    std::optional<ServerLoad> load;
    /// Whether clients take the status as a promise that the request was not executed and never will be.
    bool hasRefusalStatus { false };
    /// Whether the server that responded states that it is leaving. It runs the requests that it has accepted, but wants no new ones.
    bool isServerLeaving { false };
    /// Whether another process than the intended server listens at the address, and refused the request.
    bool isFromOtherServer { false };
    /// The time for which a server that turned the request away wants no further ones from this node; at most a day.
    std::optional<std::chrono::milliseconds> pause;

    bool operator==(ResponseAttributes const&) const = default;
};

/// Translates between the platform's headers and the types above. Implementations are stateless and thread safe.
class RequestCodec {
public:
    virtual ~RequestCodec() = default;

    [[nodiscard]] virtual RequestAttributes decodeRequest(HTTP::Request const&) const = 0;

    /// Encodes the request for a backend server: without the team's key, hop-by-hop headers, and headers that only this
    /// system may set.
    [[nodiscard]] virtual HTTP::Request encodeForward(HTTP::Request const&, ForwardAttributes const&) const = 0;

    [[nodiscard]] virtual ResponseAttributes decodeResponse(unsigned status, HTTP::Headers const&) const = 0;

    /// Returns the headers of a server's response that are passed on to the client.
    [[nodiscard]] virtual HTTP::Headers filterResponseHeaders(HTTP::Headers const&) const = 0;

    /// Adds the attempt id and the time after which the client may retry to an error response of this system.
    virtual void addErrorHeaders(HTTP::Response&, std::string const& attemptId, std::optional<std::chrono::milliseconds> retryAfter) const = 0;
};

}
