#pragma once

#include <LibHTTP/Server.h>
#include <map>
#include <string>
#include <vector>

namespace Soak {

/// What the backend servers ran, by the id of the request.
struct RunLedger {
    struct Run {
        std::string serverId;
        Core::MonotonicTime at;
    };
    std::map<std::string, std::vector<Run>> runs;

    [[nodiscard]] std::size_t countOf(std::string const& requestId) const;
};

/// The whole body that a server answers to a request.
[[nodiscard]] std::string expectedBody(std::string const& path, std::string const& requestId);

/// A backend server that answers whole bodies and streams, and records what it runs. Runs on the soak's event loop.
class SoakServer {
public:
    SoakServer(Core::Runtime&, RunLedger&, std::string id);

    [[nodiscard]] std::optional<Core::Endpoint> start(Core::Error& reason) { return m_server.listen({ "127.0.0.1", 0 }, reason); }

    [[nodiscard]] std::string const& id() const { return m_id; }

    /// Continues as another start of the server, which refuses requests for the earlier one.
    void startAgain(std::string id) { m_id = std::move(id); }

private:
    [[nodiscard]] Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);

    Core::Runtime& m_runtime;
    RunLedger& m_ledger;
    std::string m_id;
    HTTP::Server m_server;
};

}
