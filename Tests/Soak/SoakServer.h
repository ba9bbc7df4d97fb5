#pragma once

#include <LibHTTP/Server.h>
#include <Soak/BudgetRecord.h>
#include <map>
#include <string>
#include <vector>

namespace Soak {

/// The requests that the backend servers executed, and all that reached them.
struct ExecutionLog {
    struct Execution {
        std::string serverId;
        Core::MonotonicTime startedAt;
        /// Empty while the server is at work.
        std::optional<Core::MonotonicTime> finishedAt {};
    };
    /// By request id.
    std::map<std::string, std::vector<Execution>> executions;
    std::vector<Arrival> arrivals;

    [[nodiscard]] std::size_t countExecutions(std::string const& requestId) const;
};

/// Returns the complete body with which a server answers a request.
[[nodiscard]] std::string expectedBody(std::string const& path, std::string const& requestId);

/// A backend server that answers with plain bodies and event streams, and records its executions. Runs on the soak's event loop.
class SoakServer {
public:
    SoakServer(Core::Runtime&, ExecutionLog&, std::string id);

    [[nodiscard]] std::optional<Core::Endpoint> start(Core::Error& error) { return m_server.listen({ "127.0.0.1", 0 }, error); }

    [[nodiscard]] std::string const& id() const { return m_id; }

    /// Changes the id as a restart does; requests for the earlier id are refused.
    void restart(std::string id)
    {
        m_id = std::move(id);
        m_refusesUntil = {};
        m_rejectsUntil = {};
    }

    /// Refuses all requests until a time, and asks their senders for a pause.
    void refuseUntil(Core::MonotonicTime time) { m_refusesUntil = std::max(m_refusesUntil, time); }

    /// Refuses all requests until a time, without asking for a pause.
    void rejectUntil(Core::MonotonicTime time) { m_rejectsUntil = std::max(m_rejectsUntil, time); }

private:
    [[nodiscard]] Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);

    Core::Runtime& m_runtime;
    ExecutionLog& m_executionLog;
    std::string m_id;
    Core::MonotonicTime m_refusesUntil {};
    Core::MonotonicTime m_rejectsUntil {};
    HTTP::Server m_server;
};

}
