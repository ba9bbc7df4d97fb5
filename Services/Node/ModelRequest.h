#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Node {

/// The client interface of a request; determines the JSON format of the response.
enum class ModelInterface {
    Chat,
    Completion,
};

enum class ResponseMode {
    /// One JSON object.
    Buffered,
    /// Server-sent events.
    Streamed,
};

/// A validated model request. It is replicated as JSON, so that any node can continue it.
struct ModelRequest {
    ModelInterface interface {
        ModelInterface::Chat
    };
    ResponseMode responseMode { ResponseMode::Buffered };
    std::string service;
    /// Empty for none.
    std::string adapter;
    std::vector<std::string> promptTokens;
    std::uint32_t maximumTokens { 0 };
    std::uint64_t seed { 0 };
    /// Milliseconds since the Unix epoch.
    std::int64_t deadlineMilliseconds { 0 };

    bool operator==(ModelRequest const&) const = default;
};

/// Parses and validates a client's body. Fails with InvalidRequest and the JSON pointer of the error. The deadline is left at 0.
/// Thread safe.
[[nodiscard]] std::optional<ModelRequest> parseModelRequest(ModelInterface, std::string_view body, Core::Error&);

/// Encodes a request for replication, and decodes it again. Thread safe.
[[nodiscard]] std::string encodeModelRequest(ModelRequest const&);
[[nodiscard]] std::optional<ModelRequest> decodeModelRequest(std::string_view json);

/// The data of the event for one generated token. Thread safe.
[[nodiscard]] std::string tokenEventData(ModelRequest const&, std::string_view requestId, std::string_view token);

/// The data of the event that carries the finish reason. Thread safe.
[[nodiscard]] std::string finishEventData(ModelRequest const&, std::string_view requestId, std::string_view finishReason);

/// The body of a buffered response. Thread safe.
[[nodiscard]] std::string bufferedResponseBody(ModelRequest const&, std::string_view requestId, std::vector<std::string> const& tokens, std::string_view finishReason);

}
