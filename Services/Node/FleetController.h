#pragma once

#include <LibFleet/EngineCommands.h>
#include <LibFleet/FleetPlan.h>
#include <LibFleet/FleetRecord.h>
#include <LibFleet/Lease.h>
#include <LibPlatform/Cloud.h>
#include <LibPlatform/ObjectStore.h>
#include <Node/DecisionLog.h>
#include <Node/DemandObserver.h>
#include <Node/EngineControl.h>
#include <map>
#include <memory>
#include <set>

namespace Node {

struct FleetControllerSettings {
    Fleet::LeaseManagerSettings lease;
    Core::Duration planInterval { std::chrono::seconds(2) };
    /// Timeout of a call that starts or stops a host or commands an engine. When the call begins, the lease must still be valid
    /// for longer than this.
    Core::Duration actionTimeout { std::chrono::seconds(1) };
    /// Timeout of calls that read, and of the write of the record.
    Core::Duration readTimeout { std::chrono::seconds(2) };
    Fleet::EngineFencing fencing { Fleet::EngineFencing::Ignored };
    Fleet::FleetPolicy policy;
    DemandObserverSettings demand;
    /// A start whose host is not listed within this time is abandoned. Must be much longer than the lag of the host list.
    std::chrono::milliseconds startExpiry { std::chrono::minutes(10) };
    /// Time for all nodes to learn that a server is leaving before it can be stopped (invariant I5).
    std::chrono::milliseconds drainPropagationTime { std::chrono::seconds(3) };
    /// A draining server that has been unreachable for this time is assumed to have no work left.
    std::chrono::milliseconds unreachableTimeout { std::chrono::minutes(1) };
    /// Interval between two stop calls for a host that is still listed. Should exceed the lag of the host list.
    Core::Duration stopRetryInterval { std::chrono::seconds(30) };
    /// Interval between two sends of the same command.
    Core::Duration commandRetryInterval { std::chrono::seconds(5) };
};

/// The interfaces and tables that the controller uses. All references must outlive it.
struct FleetDependencies {
    Core::Runtime& runtime;
    Platform::ObjectStore& store;
    Platform::Cloud& cloud;
    HTTP::Client& backends;
    NodeTables& tables;
    DecisionLog& decisions;
    Core::Random& random;
    Core::Metrics& metrics;
    TeamDemand teamDemand;
    /// Marks a server as leaving on this node and on the other nodes of the data centre.
    std::function<void(std::string const& serverId, std::uint64_t incarnation)> markLeaving;
    std::string nodeId;
};

/// Controls the fleet while this node holds the lease "fleet": observes the demand, plans, starts hosts, drains and stops them,
/// and sends commands to engines. Each round writes its changes to the object fleetdecisions/current by one conditional update
/// before it acts on them, so that the next lease holder knows every start that may have been requested. Must outlive its tasks,
/// which end some time after stop(). Used from the runtime's thread only.
class FleetController {
public:
    FleetController(FleetDependencies, FleetControllerSettings);

    void start();

    /// Stops immediately and releases the lease.
    [[nodiscard]] Core::Awaitable<void> stop();

private:
    struct SentCommand {
        std::string value;
        std::uint64_t incarnation { 0 };
        Core::MonotonicTime at;
    };

    [[nodiscard]] Core::Awaitable<void> run();
    [[nodiscard]] Core::Awaitable<void> runRound();
    [[nodiscard]] Core::Awaitable<bool> loadRecord();
    [[nodiscard]] Core::Awaitable<bool> writeRecord();
    [[nodiscard]] Core::Awaitable<void> startHosts();
    [[nodiscard]] Core::Awaitable<void> startHost(std::string token);
    [[nodiscard]] Core::Awaitable<void> stopDrainedHosts();
    [[nodiscard]] Core::Awaitable<void> stopIfIdle(Fleet::DrainRecord);
    [[nodiscard]] Core::Awaitable<void> sendCommand(Core::Endpoint, Fleet::EngineCommand);
    void beginEpoch(std::uint64_t epoch);
    void plan(std::vector<Platform::Host> const&);
    void commandEngines(std::vector<Platform::Host> const&);
    void markDrains();
    [[nodiscard]] std::vector<Fleet::FleetHost> fleetHosts(std::vector<Platform::Host> const&);
    [[nodiscard]] std::vector<Fleet::DesiredEngine> desiredEngines(std::vector<Platform::Host> const&) const;
    [[nodiscard]] Fleet::DrainRecord const* findDrain(std::string const& hostId) const;
    [[nodiscard]] bool canAct() const;
    [[nodiscard]] Fleet::LeaseStatus leaseStatus() const;
    [[nodiscard]] std::int64_t wallMilliseconds() const;
    [[nodiscard]] Core::MonotonicTime monotonicTime(std::int64_t wallMilliseconds) const;
    void recordDecision(std::string subject, std::string text);
    void logDecision(Fleet::FleetDecision const&);

    FleetDependencies m_dependencies;
    Core::Runtime& m_runtime;
    FleetControllerSettings m_settings;
    Fleet::LeaseManager m_leaseManager;
    EngineControl m_engines;
    bool m_running { false };

    // State of the current epoch, reset by beginEpoch().
    std::uint64_t m_epoch { 0 };
    Core::MonotonicTime m_leaseHeldSince;
    std::unique_ptr<DemandObserver> m_demand;
    std::optional<Fleet::FleetRecord> m_record;
    /// The record in the store and its version; number 0 if there is none.
    Fleet::FleetRecord m_storedRecord;
    Core::StoreRevision m_storedVersion;
    /// Tokens of the starts of this epoch whose call has not been made.
    std::vector<std::string> m_unsentStarts;
    std::map<std::string, Core::MonotonicTime> m_firstSeen;
    std::map<std::string, Core::MonotonicTime> m_unreachableSince;
    std::map<std::string, Core::MonotonicTime> m_stoppedAt;
    std::map<std::pair<std::string, std::uint64_t>, Fleet::ReportedEngine> m_confirmedEngines;
    std::map<std::pair<std::string, Fleet::EngineCommandKind>, SentCommand> m_sentCommands;
    std::set<std::string> m_servicesWithShortage;
    std::uint64_t m_nextToken { 0 };
};

}
