#pragma once

#include <Edge/DutyRunner.h>
#include <Edge/EdgeSettings.h>
#include <Edge/EdgeTables.h>
#include <Edge/PeerExchange.h>
#include <Edge/RequestForwarder.h>
#include <Edge/RolloutRunner.h>
#include <Edge/StoreWatcher.h>
#include <LibHTTP/ClientBudgets.h>
#include <memory>

namespace Edge {

/// The platform-specific codecs and clients. All must outlive the service.
struct PlatformInterfaces {
    Forward::RequestCodec const& requestCodec;
    Forward::PlatformCodec const& objectCodec;
    Platform::ObjectStore& store;
    /// Null if this deployment has no duties.
    Forward::DutyApi* dutyApi { nullptr };
    /// The path of the platform's readiness check.
    std::string readyPath;
    /// Null if the platform has no rollouts.
    Rollout::Codec const* rolloutCodec { nullptr };
};

/// The edge process on an entry host. Creates and connects all components, and updates the tables on each tick. Used from the
/// runtime's thread only.
class EdgeService {
public:
    /// Precondition: the runtime outlives the service, which is destroyed only after the io_context has stopped.
    EdgeService(Core::Runtime&, EdgeSettings, PlatformInterfaces);
    ~EdgeService();

    /// Binds the ports and starts all tasks. InvalidSetting if a port cannot be bound.
    [[nodiscard]] bool start(Core::Error&);

    /// Applies settings that were read again, except the node id and the listening addresses.
    void reload(EdgeSettings);

    /// Begins a graceful shutdown, at the end of which the io_context is stopped.
    void drain();

    /// The current settings, with the ports that were bound.
    [[nodiscard]] EdgeSettings const& settings() const { return m_settings; }

    [[nodiscard]] EdgeTables const& tables() const { return m_tables; }

private:
    [[nodiscard]] Core::Awaitable<void> handleReadyRequest(HTTP::Request const&, HTTP::ResponseWriter&);
    [[nodiscard]] Core::Awaitable<void> handlePeerRequest(HTTP::Request const&, HTTP::ResponseWriter&);
    [[nodiscard]] Core::Awaitable<void> handleMetricsRequest(HTTP::Request const&, HTTP::ResponseWriter&);
    [[nodiscard]] Core::Awaitable<void> runTicks();
    [[nodiscard]] Core::Awaitable<void> runDrain(Forward::DrainSchedule);
    [[nodiscard]] Forward::NodeReport buildReport();
    [[nodiscard]] bool isReady() const;
    void tick();

    Core::Runtime& m_runtime;
    EdgeSettings m_settings;
    PlatformInterfaces m_platform;
    std::uint64_t m_incarnation;
    Core::Random m_random;
    Core::Metrics m_metrics;
    EdgeTables m_tables;
    HTTP::Client m_backendClient;
    HTTP::Client m_peerClient;
    RequestForwarder m_forwarder;
    StoreWatcher m_storeWatcher;
    PeerExchange m_peerExchange;
    std::unique_ptr<DutyRunner> m_dutyRunner;
    HTTP::ClientBudgets m_clientBudgets;
    /// Null if this deployment has no rollouts.
    std::unique_ptr<RolloutRunner> m_rolloutRunner;
    HTTP::Server m_clientServer;
    HTTP::Server m_readyServer;
    HTTP::Server m_peerServer;
    HTTP::Server m_metricsServer;
    std::uint64_t m_limitsVersion { 0 };
};

}
