#pragma once

#include <LibCore/Runtime.h>
#include <LibFleet/EngineCommands.h>
#include <LibHTTP/Client.h>
#include <optional>

namespace Node {

/// A fresh load report of a backend server.
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

/// The calls by which the fleet controller steers backend servers (docs/protocols.md). Used from the runtime's thread only.
class EngineControl {
public:
    /// Precondition: the client outlives this object.
    explicit EngineControl(HTTP::Client&);

    /// Sends a command once, on a connection of its own, so that it cannot reach the engine after the deadline by way of a
    /// connection that is kept. StoreConflict if the engine refuses the fencing token; BackendFailed for another answer;
    /// else as HTTP::Client.
    [[nodiscard]] Core::Awaitable<bool> send(Core::Endpoint, Fleet::EngineCommand, Core::MonotonicTime deadline, Core::Error&);

    [[nodiscard]] Core::Awaitable<std::optional<ServerLoad>> load(Core::Endpoint, ServerKind, Core::MonotonicTime deadline, Core::Error&);

private:
    HTTP::Client& m_client;
};

}
