#pragma once

#include <LibCore/ErrorKind.h>
#include <LibHTTP/ServerSentEvents.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Load {

/// The part of a streamed response that has arrived.
struct StreamedResponse {
    std::string text;
    std::uint64_t tokens { 0 };
    /// The number at the start of the last event's `id:` line; counted if there is no such line.
    std::uint64_t lastEventNumber { 0 };
    /// The last event's whole `id:` line, the opaque position from which a resumed response continues.
    std::string lastEventId;
    /// Events whose number does not follow the one before: repeated, missing or out of order.
    std::uint64_t sequenceErrors { 0 };
    bool done { false };
    /// The problem that ended the response.
    std::optional<Core::Error> problem;

    bool operator==(StreamedResponse const&) const = default;
};

/// Adds an event of the OpenAI form, `[DONE]` or a problem details object. Returns the number of tokens in it.
std::uint64_t consumeEvent(StreamedResponse&, HTTP::ServerSentEvent const&);

/// The text of a whole response to a chat or text completion; nothing if the body is not such a response. Thread safe.
[[nodiscard]] std::optional<std::string> parseCompletionText(std::string const& body);

/// The number of tokens of a text, which the gateway joins by spaces. Thread safe.
[[nodiscard]] std::uint64_t countTokens(std::string_view text);

}
