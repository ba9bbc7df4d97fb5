#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibPeer/PeerMessages.h>
#include <LibPeer/PeerTraffic.h>
#include <map>
#include <memory>

namespace Peer {

/// Calls other nodes over one connection per peer, which is opened by the first call and reopened after a failure.
/// Used from the runtime's thread only. The destructor closes all connections and joins KJ's thread. It may run while
/// calls are pending: these fail with Cancelled if the io_context keeps running.
///
/// A call fails with PeerUnreachable, or with DeadlineExceeded once the runtime's clock reaches the deadline. The run state is
/// NotRun if the request was not sent, for example because the connection could not be established, and Unknown otherwise.
class PeerClient {
public:
    /// Calls to an advertised endpoint that is a key of the routes go to its value. Precondition: the runtime outlives the client.
    explicit PeerClient(Core::Runtime&, std::map<std::string, Core::Endpoint> routes = {});
    PeerClient(PeerClient const&) = delete;
    PeerClient& operator=(PeerClient const&) = delete;
    ~PeerClient();

    [[nodiscard]] Core::Awaitable<std::optional<ExchangeReply>> exchange(Core::Endpoint, ExchangeRequest, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::optional<FetchConfigurationReply>> fetchConfiguration(Core::Endpoint, FetchConfigurationRequest, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::optional<ReplicateReply>> replicate(Core::Endpoint, ReplicateRequest, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::optional<HandOverReply>> handOver(Core::Endpoint, HandOverRequest, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::optional<FindStreamReply>> findStream(Core::Endpoint, FindStreamRequest, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::optional<BeginIntentReply>> beginIntent(Core::Endpoint, BeginIntentRequest, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::optional<FinishIntentReply>> finishIntent(Core::Endpoint, FinishIntentRequest, Core::MonotonicTime deadline, Core::Error&);
    /// The deadline must be later than the end of the request's waitMilliseconds.
    [[nodiscard]] Core::Awaitable<std::optional<FetchPlatformDataReply>> fetchPlatformData(Core::Endpoint, FetchPlatformDataRequest, Core::MonotonicTime deadline, Core::Error&);

    /// The traffic of this client's calls so far. Thread safe.
    [[nodiscard]] PeerTraffic traffic(TrafficClass) const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
