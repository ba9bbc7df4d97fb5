#pragma once

#include <LibCore/Runtime.h>
#include <LibHTTP/Client.h>
#include <LibHTTP/ServerSentEvents.h>
#include <Node/ModelRequest.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Node {

/// One attempt to generate an output, or the rest of it, at a model engine.
struct CompletionCall {
    std::string requestId;
    std::string attemptId;
    std::vector<std::string> generatedTokens;
    std::uint32_t priority { 0 };
    /// The handle of imported attention state; empty for none.
    std::string stateHandle;

    bool operator==(CompletionCall const&) const = default;
};

/// The last event of a completion.
struct CompletionEnd {
    std::string finishReason;
    std::uint32_t cachedTokens { 0 };
    std::uint32_t prefilledTokens { 0 };

    bool operator==(CompletionEnd const&) const = default;
};

/// The result of one read of a completion.
struct CompletionProgress {
    std::vector<std::string> tokens;
    std::optional<CompletionEnd> end;

    bool operator==(CompletionProgress const&) const = default;
};

/// The attention state of an attempt after a number of prompt and output tokens.
struct ExportedState {
    std::string state;
    std::uint64_t tokens { 0 };

    bool operator==(ExportedState const&) const = default;
};

/// Reads and validates the events of one completion. An event that is malformed, out of order or of another attempt ends it with
/// BackendAnswerInvalid; duplicates are skipped. Destroying the stream cancels the completion at the engine. Not thread safe.
class CompletionStream {
public:
    CompletionStream(std::unique_ptr<HTTP::ResponseStream>, std::string attemptId, std::uint64_t firstIndex);

    /// Waits for the next tokens or the end. The progress is empty if the engine sent only a keep-alive comment.
    [[nodiscard]] Core::Awaitable<std::optional<CompletionProgress>> read(Core::MonotonicTime deadline, Core::Error&);

private:
    [[nodiscard]] bool addEvent(std::string const& data, CompletionProgress&, Core::Error&);

    std::unique_ptr<HTTP::ResponseStream> m_response;
    HTTP::ServerSentEventParser m_parser;
    std::string m_attemptId;
    std::uint64_t m_nextIndex;
};

/// Client of the model engines' HTTP interface (docs/protocols.md). Used from the runtime's thread only.
class EngineClient {
public:
    /// Precondition: the client outlives this object.
    explicit EngineClient(HTTP::Client&);

    /// Starts a completion. Fails with Overloaded (NotRun) if the engine accepts no new work, BackendFailed (Unknown) for any other
    /// status than 200; otherwise the errors of HTTP::Client.
    [[nodiscard]] Core::Awaitable<std::unique_ptr<CompletionStream>> complete(Core::Endpoint, ModelRequest, CompletionCall, Core::MonotonicTime deadline, Core::Error&);

    /// Fetches the current incarnation of an engine.
    [[nodiscard]] Core::Awaitable<std::optional<std::uint64_t>> incarnation(Core::Endpoint, Core::MonotonicTime deadline, Core::Error&);

    /// Exports the attention state of a running attempt, which continues to run.
    [[nodiscard]] Core::Awaitable<std::optional<ExportedState>> exportState(Core::Endpoint, std::string attemptId, Core::MonotonicTime deadline, Core::Error&);

    /// Imports exported state and returns its handle for CompletionCall.
    [[nodiscard]] Core::Awaitable<std::optional<std::string>> importState(Core::Endpoint, std::string state, Core::MonotonicTime deadline, Core::Error&);

    [[nodiscard]] Core::Awaitable<bool> setPriority(Core::Endpoint, std::string attemptId, std::uint32_t priority, Core::MonotonicTime deadline, Core::Error&);

private:
    HTTP::Client& m_client;
};

}
