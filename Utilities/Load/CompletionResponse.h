#pragma once

#include <LibCore/ErrorKind.h>
#include <LibHTTP/ServerSentEvents.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Load {

/// The part of a streamed response that has been received.
struct StreamedResponse {
    std::string text;
    std::uint64_t tokens { 0 };
    /// The number at the start of the last event's `id:` line; the previous number plus 1 if the event has no such line.
    std::uint64_t lastEventNumber { 0 };
    /// The value of the last event's `id:` line: the opaque position from which a resumed response continues.
    std::string lastEventId;
    /// Events whose number is not the previous number plus 1, as after a repeated, lost or reordered event.
    std::uint64_t sequenceErrors { 0 };
    bool done { false };
    /// The error that ended the response.
    std::optional<Core::Error> problem;

    bool operator==(StreamedResponse const&) const = default;
};

/// Adds an event: an OpenAI completion chunk, `[DONE]` or a problem details object. Returns the number of tokens in it.
std::uint64_t consumeEvent(StreamedResponse&, HTTP::ServerSentEvent const&);

/// Returns the text of a chat or text completion that is not streamed, or nothing if the body is not one. Thread safe.
[[nodiscard]] std::optional<std::string> parseCompletionText(std::string const& body);

/// Returns the number of tokens in a text; the gateway separates tokens with spaces. Thread safe.
[[nodiscard]] std::uint64_t countTokens(std::string_view text);

}
