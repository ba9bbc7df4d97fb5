#pragma once

#include <LibCore/Random.h>
#include <LibCore/Runtime.h>
#include <LibMembership/ConfigurationHolder.h>
#include <LibMembership/GossipState.h>
#include <LibMembership/NodeTable.h>
#include <LibPeer/PeerClient.h>
#include <LibPlatform/ObjectStore.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// Interface to the peer calls of the membership service. PeerClientCalls is the network implementation; tests simulate it.
class PeerCalls {
public:
    virtual ~PeerCalls() = default;

    [[nodiscard]] virtual Core::Awaitable<std::optional<Peer::ExchangeReply>> exchange(Core::Endpoint, Peer::ExchangeRequest, Core::MonotonicTime deadline, Core::Error&) = 0;
    [[nodiscard]] virtual Core::Awaitable<std::optional<Peer::FetchConfigurationReply>> fetchConfiguration(Core::Endpoint, Peer::FetchConfigurationRequest, Core::MonotonicTime deadline, Core::Error&) = 0;
};

class PeerClientCalls final : public PeerCalls {
public:
    /// Precondition: the client outlives this object.
    explicit PeerClientCalls(Peer::PeerClient& client)
        : m_client(client)
    {
    }

    [[nodiscard]] Core::Awaitable<std::optional<Peer::ExchangeReply>> exchange(Core::Endpoint, Peer::ExchangeRequest, Core::MonotonicTime deadline, Core::Error&) override;
    [[nodiscard]] Core::Awaitable<std::optional<Peer::FetchConfigurationReply>> fetchConfiguration(Core::Endpoint, Peer::FetchConfigurationRequest, Core::MonotonicTime deadline, Core::Error&) override;

private:
    Peer::PeerClient& m_client;
};

struct MembershipSettings {
    /// The row of this node: id, endpoints, data centre, region and incarnation. The service maintains the other fields.
    NodeRow self;
    /// Peer endpoints to contact while no other node is known.
    std::vector<Core::Endpoint> seeds;
    Core::Duration tickInterval { std::chrono::milliseconds(100) };
    Core::Duration exchangeInterval { std::chrono::milliseconds(600) };
    Core::Duration remoteExchangeInterval { std::chrono::seconds(4) };
    Core::Duration callTimeout { std::chrono::seconds(1) };
    /// Maximum duration of one watch of the configuration object on a relay.
    Core::Duration watchTimeout { std::chrono::seconds(30) };
    Core::Duration storeRetryInterval { std::chrono::seconds(1) };
    ExpirySettings expiry;
    GossipLimits limits;
    /// Rate limit for sending full rows, in bytes per second, and the burst that covers a simultaneous start of all nodes.
    std::size_t rowBytesPerSecond { 2000 };
    std::size_t rowBurstBytes { 256 * 1024 };
};

/// Maintains the node table, exchanges state with other nodes by gossip, and keeps the configuration up to date.
/// Used from the runtime's thread only.
class MembershipService {
public:
    /// Preconditions: all arguments outlive the service, and the service outlives every task it started, so it is destroyed
    /// after the io_context has stopped or 2 * callTimeout + watchTimeout after stop().
    MembershipService(Core::Runtime&, Platform::ObjectStore&, PeerCalls&, Core::Random&, MembershipSettings);
    MembershipService(MembershipService const&) = delete;
    MembershipService& operator=(MembershipService const&) = delete;

    /// Starts the periodic tasks. Precondition: not started, or stopped again.
    void start();
    /// Ends the periodic tasks at their next step.
    void stop();

    [[nodiscard]] NodeTable const& nodes() const { return m_nodes; }
    [[nodiscard]] ConfigurationHolder& configuration() { return m_configuration; }
    [[nodiscard]] bool isRelay() const { return Membership::isRelay(m_nodes); }

    /// Announces that this node is leaving. Irreversible.
    void setLeaving();

    /// Marks an incarnation of a backend server as leaving on all nodes. Irreversible; expires after GossipLimits::markLifetime.
    void markServerLeaving(std::string const& serverId, std::uint64_t incarnation);
    [[nodiscard]] bool isServerLeaving(std::string const& serverId, std::uint64_t incarnation) const;
    /// Registers a function that is called for each new leaving mark, whether set by this node or received from a peer.
    void onServerLeaving(std::function<void(std::string const& serverId, std::uint64_t incarnation)> listener);

    /// Sets the rates at which this node admits a team's requests and tokens. A usage below 0.01 requests per second without
    /// tokens is removed; other nodes drop their copy when it expires.
    void setOwnUsage(std::string_view team, double requestsPerSecond, double tokensPerSecond);
    struct TeamUsage {
        double requestsPerSecond { 0 };
        double tokensPerSecond { 0 };
        /// Number of nodes whose usage is included in the sums.
        unsigned nodes { 0 };

        bool operator==(TeamUsage const&) const = default;
    };
    /// The sum of the unexpired usage received from the other nodes of the data centre.
    [[nodiscard]] TeamUsage usageOfOtherNodes(std::string_view team) const;

    /// Quarantines a request fingerprint on all nodes for a duration, at most one hour.
    void quarantine(std::string const& fingerprint, std::chrono::milliseconds);
    [[nodiscard]] bool isQuarantined(std::string_view fingerprint) const;

    /// Handles a call of a peer; PeerHandler implementations forward to these functions.
    [[nodiscard]] Peer::ExchangeReply handle(Peer::ExchangeRequest const&);
    [[nodiscard]] Peer::FetchConfigurationReply handle(Peer::FetchConfigurationRequest const&) const;

    /// Encoded bytes of exchange messages sent and received so far, without RPC envelopes.
    [[nodiscard]] std::uint64_t exchangedBytes() const { return m_exchangedBytes; }

private:
    [[nodiscard]] Core::Awaitable<void> runTicks(std::uint64_t runId);
    [[nodiscard]] Core::Awaitable<void> runConfigurationWatch(std::uint64_t runId);
    [[nodiscard]] Core::Awaitable<bool> watchConfiguration(std::uint64_t runId);
    [[nodiscard]] Core::Awaitable<void> exchangeWith(Core::Endpoint, Peer::ExchangeMessage);
    [[nodiscard]] Core::Awaitable<void> fetchConfigurationFrom(Core::Endpoint);
    void step();
    void startExchanges(ExchangeRound);
    void startUrgentExchanges();
    [[nodiscard]] MergeResult merge(Peer::ExchangeMessage const&);
    void scheduleUrgentExchanges();
    void countSent(Peer::ExchangeMessage const&);
    void fetchIfNewer(Peer::ExchangeMessage const& received, std::optional<Core::Endpoint> source);
    [[nodiscard]] std::int64_t wallMilliseconds() const;

    Core::Runtime& m_runtime;
    Platform::ObjectStore& m_store;
    PeerCalls& m_calls;
    Core::Random& m_random;
    MembershipSettings m_settings;
    NodeTable m_nodes;
    GossipState m_gossip;
    ConfigurationHolder m_configuration;
    std::vector<std::function<void(std::string const&, std::uint64_t)>> m_serverLeavingListeners;
    Core::MonotonicTime m_lastStepAt {};
    Core::MonotonicTime m_nextExchangeAt {};
    Core::MonotonicTime m_nextRemoteExchangeAt {};
    std::size_t m_rowByteBudget { 0 };
    unsigned m_urgentRoundsLeft { 0 };
    unsigned m_fetchesInProgress { 0 };
    Core::MonotonicTime m_lastFetchAt {};
    std::uint64_t m_exchangedBytes { 0 };
    /// Odd while running; changes with each start() and stop(), so that tasks of an earlier run end.
    std::uint64_t m_runId { 0 };
};

}
