#pragma once

#include <LibCore/Runtime.h>
#include <LibFleet/EngineCommands.h>
#include <LibHTTP/Client.h>
#include <optional>

namespace Node {

/// A load report just read from a backend server.
struct ServerLoad {
    std::uint64_t running { 0 };
    std::uint64_t waiting { 0 };
    bool isLeaving { false };

    bool operator==(ServerLoad const&) const = default;
};

enum class ServerKind {
    Engine,
    PlainService,
};

/// The fleet controller's calls to backend servers (docs/protocols.md). Used from the runtime's thread only.
class EngineControl {
public:
    /// Precondition: the client outlives this object.
    explicit EngineControl(HTTP::Client&);

    /// Sends a command once, on a new connection, since on a pooled one it could reach the engine after the deadline.
    /// StoreConflict if the engine rejects the fencing token; BackendFailed for any other error status; otherwise the errors of
    /// HTTP::Client::send().
    [[nodiscard]] Core::Awaitable<bool> send(Core::Endpoint, Fleet::EngineCommand, Core::MonotonicTime deadline, Core::Error&);

    /// Reads the load report of a server. BackendAnswerInvalid if it is malformed; otherwise the errors of HTTP::Client::send().
    [[nodiscard]] Core::Awaitable<std::optional<ServerLoad>> load(Core::Endpoint, ServerKind, Core::MonotonicTime deadline, Core::Error&);

private:
    HTTP::Client& m_client;
};

}
