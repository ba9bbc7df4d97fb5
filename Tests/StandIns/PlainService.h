#pragma once

#include <LibCore/Runtime.h>
#include <LibHTTP/Server.h>
#include <StandIns/BackendProcess.h>
#include <boost/json/array.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace StandIns {

/// The switches of `PUT /stand-in/faults`; docs/stand-ins.md describes them.
struct PlainServiceFaults {
    std::chrono::milliseconds delay { 0 };
    bool dropAnswer { false };
    bool truncateAnswer { false };
    bool crossAttempts { false };
    bool answerTwice { false };
    bool fail { false };
    /// The number of requests that the faults still apply to.
    std::int64_t remainingRequests { 0 };
};

/// A non-model service that executes requests for any path and records each execution. Not thread safe.
class PlainService final : public Backend {
public:
    PlainService(Core::Runtime&, std::chrono::milliseconds executionTime);

    std::optional<Core::Endpoint> listen(Core::Endpoint const&, Core::Error&) override;
    void leave() override { m_leaving = true; }
    Core::Awaitable<void> shutDown(Core::MonotonicTime deadline) override;

private:
    Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);
    Core::Awaitable<void> execute(HTTP::Request const&, HTTP::ResponseWriter&);
    PlainServiceFaults takeFaults();
    void setFaults(boost::json::object const&);
    boost::json::object record() const;

    Core::Runtime& m_runtime;
    std::chrono::milliseconds m_executionTime;
    PlainServiceFaults m_faults;
    HTTP::Server m_server;
    std::int64_t m_incarnation;
    bool m_leaving { false };
    std::size_t m_running { 0 };
    std::string m_previousAttemptId;
    boost::json::array m_executions;
    std::uint64_t m_refused { 0 };
};

}
