#pragma once

#include <LibConfiguration/ConfigurationStore.h>
#include <LibHTTP/Server.h>
#include <LibIntent/IntentJournal.h>
#include <LibMembership/MembershipService.h>
#include <LibPeer/PeerHandler.h>
#include <LibPeer/PeerServer.h>
#include <LibPlatform/CloudClient.h>
#include <LibPlatform/ObjectClient.h>
#include <Node/BackendWatcher.h>
#include <Node/Gateway.h>
#include <Node/NodeSettings.h>
#include <Node/OperatorEndpoint.h>
#include <Node/PlatformFeed.h>
#include <memory>

namespace Node {

/// A node: the process on an entry host, which receives client requests. Builds and connects all components, and updates the tables
/// at each tick. Used from the runtime's thread only.
class NodeService final : public Peer::PeerHandler {
public:
    /// Precondition: the runtime outlives the service, which is destroyed only after the io_context has stopped.
    NodeService(Core::Runtime&, NodeSettings);
    ~NodeService() override;

    /// Binds the ports and starts all tasks. InvalidSetting if a port cannot be bound.
    [[nodiscard]] bool start(Core::Error&);

    /// Starts the graceful shutdown, which ends by stopping the io_context. Requests in progress may finish until the deadline and
    /// are then handed over to other nodes. A second call can only make the deadline earlier.
    void drain(Core::MonotonicTime deadline);

    /// The status that the operator endpoint returns.
    [[nodiscard]] boost::json::value status();

    Core::Awaitable<Peer::ExchangeReply> exchange(Peer::ExchangeRequest) override;
    Core::Awaitable<Peer::FetchConfigurationReply> fetchConfiguration(Peer::FetchConfigurationRequest) override;
    Core::Awaitable<Peer::ReplicateReply> replicate(Peer::ReplicateRequest) override;
    Core::Awaitable<Peer::HandOverReply> handOver(Peer::HandOverRequest) override;
    Core::Awaitable<Peer::FindStreamReply> findStream(Peer::FindStreamRequest) override;
    Core::Awaitable<Peer::BeginIntentReply> beginIntent(Peer::BeginIntentRequest) override;
    Core::Awaitable<Peer::FinishIntentReply> finishIntent(Peer::FinishIntentRequest) override;
    Core::Awaitable<Peer::FetchPlatformDataReply> fetchPlatformData(Peer::FetchPlatformDataRequest) override;

private:
    struct Components;

    void buildComponents();
    void applyConfiguration();
    void handleReclaim(std::set<std::string> const& hostIds, Core::MonotonicTime reclaimAt);
    [[nodiscard]] Core::Awaitable<void> runTicks();
    [[nodiscard]] Core::Awaitable<void> runDrain();
    [[nodiscard]] Core::Awaitable<void> runGarbageCollection();
    void tick();
    void connectFleetController();
    void moveReplicasFromLostNodes();
    void publishUsage();
    void mergeServers(std::vector<Peer::ServerEntry> const&);
    void publishTraffic();
    /// Sets the bandwidth of load reports to what the other control traffic of the last seconds leaves of the budget.
    void adjustReportBudget();
    /// The fraction of the team's limits that this node may admit.
    [[nodiscard]] double limitFraction(std::string const& team) const;
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] OperatorDependencies operatorDependencies();

    Core::Runtime& m_runtime;
    NodeSettings m_settings;
    std::unique_ptr<Components> m_components;
    std::uint64_t m_trafficBytes { 0 };
    Core::MonotonicTime m_trafficReadAt {};
    Core::MonotonicTime m_drainDeadline;
    bool m_draining { false };
};

}
