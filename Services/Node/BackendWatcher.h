#pragma once

#include <LibCore/Random.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/Client.h>
#include <LibPeer/PeerMessages.h>
#include <LibRouting/ReportSchedule.h>
#include <Node/NodeTables.h>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Node {

struct BackendWatcherSettings {
    Routing::ReportScheduleSettings reports;
    Core::Duration cacheEventInterval { std::chrono::milliseconds(500) };
    Core::Duration callTimeout { std::chrono::milliseconds(500) };
    /// The fraction of the bandwidth for load reports and cache events that cache events get. Busy engines publish more than that;
    /// the cache contents are then estimated mainly from this node's own requests.
    double cacheEventShare { 0.2 };
};

/// Receives the hosts of a reclaim notice and the time of the reclaim.
using ReclaimListener = std::function<void(std::set<std::string> const& hostIds, Core::MonotonicTime reclaimAt)>;

/// Updates the table of backend servers from the platform's host list, which lags, its reclaim notices, the servers' load
/// reports and the engines' cache events. Used from the runtime's thread only.
class BackendWatcher {
public:
    /// nodesInDataCentre returns the number of nodes in this node's data centre. Precondition: all references outlive the watcher,
    /// which outlives its tasks.
    BackendWatcher(Core::Runtime&, HTTP::Client&, NodeTables&, Core::Random&, BackendWatcherSettings, std::function<std::size_t()> nodesInDataCentre);

    void start();
    /// Ends the tasks at their next step.
    void stop() { m_running = false; }

    /// Sets the bandwidth of load reports and cache events in bytes per second, requests and packet headers included.
    void setBytesPerSecond(double);

    /// Merges the platform's list of backend servers into the table.
    void mergeServers(std::vector<Peer::ServerEntry> const&);

    /// Marks the servers on the hosts as leaving and calls the reclaim listener.
    void addNotices(std::vector<Peer::ReclaimNotice> const&);

    /// The listener is called for each reclaim time, also for hosts that are not backend servers.
    void onReclaim(ReclaimListener listener) { m_onReclaim = std::move(listener); }

    /// The listener is called with a server's id and incarnation when it is first known to be leaving.
    void onServerLeaving(std::function<void(std::string const&, std::uint64_t)> listener) { m_onServerLeaving = std::move(listener); }

private:
    [[nodiscard]] Core::Awaitable<void> runReports();
    [[nodiscard]] Core::Awaitable<void> readLoad(std::string serverId, std::uint64_t incarnation);
    [[nodiscard]] Core::Awaitable<void> readCacheEvents(std::string serverId, std::uint64_t incarnation);
    void startReports();
    void startCacheEvents();
    void markReclaimedServersLeaving();
    void markServerLeaving(std::string const& serverId, std::uint64_t incarnation);
    [[nodiscard]] Routing::ServerRow* findIncarnation(std::string const& serverId, std::uint64_t incarnation);
    [[nodiscard]] bool isConfigured(Routing::ServerRow const&) const;
    [[nodiscard]] bool isModel(Routing::ServerRow const&) const;

    Core::Runtime& m_runtime;
    HTTP::Client& m_client;
    NodeTables& m_tables;
    Core::Random& m_random;
    BackendWatcherSettings m_settings;
    std::function<std::size_t()> m_nodesInDataCentre;
    ReclaimListener m_onReclaim;
    std::function<void(std::string const&, std::uint64_t)> m_onServerLeaving;
    std::set<std::string> m_reclaimedHosts;
    Routing::ReportSchedule m_schedule;
    Routing::ByteBudget m_reportBudget;
    Routing::ByteBudget m_cacheEventBudget;
    /// The sequence number after which cache events are read next, by server and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_cacheSequences;
    bool m_running { false };
};

}
