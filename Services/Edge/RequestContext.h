#pragma once

#include <Edge/EdgeTables.h>
#include <LibForward/EventSplitter.h>
#include <LibForward/RequestCodec.h>
#include <LibForward/RouteTable.h>
#include <LibHTTP/Client.h>
#include <LibHTTP/Server.h>
#include <LibRouting/Placement.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Edge {

/// Counts a request as outstanding at a server for the lifetime of an attempt.
class OutstandingScope {
public:
    OutstandingScope(EdgeTables& tables, std::string serverId, Limits::RequestFingerprint fingerprint)
        : m_tables(tables)
        , m_serverId(std::move(serverId))
        , m_fingerprint(m_tables.runningByServer.emplace(m_serverId, fingerprint))
    {
        if (auto* row = Routing::findServer(m_tables.servers, m_serverId))
            ++row->outstanding;
    }

    ~OutstandingScope()
    {
        m_tables.runningByServer.erase(m_fingerprint);
        auto* row = Routing::findServer(m_tables.servers, m_serverId);
        if (row && row->outstanding > 0)
            --row->outstanding;
    }

    OutstandingScope(OutstandingScope const&) = delete;
    OutstandingScope& operator=(OutstandingScope const&) = delete;

private:
    EdgeTables& m_tables;
    std::string m_serverId;
    std::multimap<std::string, Limits::RequestFingerprint>::iterator m_fingerprint;
};

/// State of one attempt at a backend server. Used from the runtime's thread only.
struct Attempt {
    Attempt(EdgeTables& tables, Routing::Placement chosen, Limits::RequestFingerprint fingerprint, Core::MonotonicTime now)
        : placement(std::move(chosen))
        , sentAt(now)
        , outstanding(tables, placement.serverId, fingerprint)
    {
    }

    Routing::Placement placement;
    /// The version of the server.
    std::string version;
    Core::MonotonicTime sentAt;
    OutstandingScope outstanding;
    std::unique_ptr<HTTP::ResponseStream> stream;
    Forward::ResponseAttributes attributes;
    /// Number of events that earlier attempts sent.
    std::uint64_t eventsBefore { 0 };
    /// Number of pieces of the stream that held complete events.
    std::size_t eventPieces { 0 };
    /// When the stream counts as stalled, unless an event is forwarded before.
    Core::MonotonicTime stallsAt {};
    /// Of a stalled stream: the bytes of an incomplete event.
    std::string partialEvent;
};

/// State of one client request, from its arrival to the end of its response. Used from the runtime's thread only.
struct RequestContext {
    HTTP::Request const& request;
    HTTP::ResponseWriter& writer;
    Core::MonotonicTime arrivedAt;
    std::shared_ptr<Forward::RouteTable const> routes;
    Forward::RequestAttributes attributes;
    Forward::Route const* route { nullptr };
    Forward::Team const* team { nullptr };
    std::string service;
    Core::MonotonicTime deadline;
    std::uint64_t sharedPrefixHash { 0 };
    std::uint32_t sharedTokens { 0 };
    Limits::RequestFingerprint fingerprint { 0 };
    /// The parts of the prompt that other requests may share: all but the last.
    std::vector<Limits::PromptPartHash> sharedParts;
    /// Empty if the service has no admission control.
    std::optional<Admission::Decision> admission;
    /// The load of the service's servers when the request arrived, and the ticket of its first attempt.
    double loadAtSend { 0 };
    std::optional<std::uint64_t> admissionTicket;
    HTTP::Cancellation cancellation;
    bool clientDisconnected { false };

    std::uint32_t attempts { 0 };
    std::uint32_t possibleExecutions { 0 };
    /// For the log, if the retry budget did not allow a further attempt: the number of nodes by which it was divided.
    std::optional<std::size_t> nodesOfExhaustedBudget;
    std::vector<std::string> triedServers;
    std::vector<Core::Endpoint> triedEndpoints;
    /// For the log: each server that was tried with the outcome of its attempt, and the placement data of the last one.
    std::string attemptTrace;
    /// When the server of the last attempt was chosen.
    Core::MonotonicTime placedAt {};
    std::uint32_t chosenServerLoad { 0 };
    std::uint32_t chosenHomeRank { 0 };
    std::optional<Core::Endpoint> cacheSource;
    std::optional<Routing::CostEstimate> costEstimate;
    bool startRecorded { false };
    /// Status of the response sent to the client.
    unsigned status { 0 };
    std::optional<HTTP::Response> response;
    /// Bytes of response bodies and incomplete events that are held for this request.
    std::size_t bufferedBytes { 0 };
    /// Of these, bytes of incomplete events.
    std::size_t eventBytes { 0 };
    /// Whether the status and headers of a stream have been sent to the client.
    bool streamStarted { false };
    bool streamFinished { false };
    Forward::EventSplitter events;
    std::optional<Core::MonotonicTime> firstEventAt;
    /// The attempt that sent the last event, while another server is asked to continue the stream.
    std::unique_ptr<Attempt> stalled;
    std::string failureReason;
};

}
