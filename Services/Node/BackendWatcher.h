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
    /// The share of cache events in the bytes for load reports and cache events. Busy engines publish more than it carries;
    /// the estimate of the own requests then prevails.
    double cacheEventShare { 0.2 };
};

/// Hosts that the platform announced to reclaim, and when at the latest.
using ReclaimListener = std::function<void(std::set<std::string> const& hostIds, Core::MonotonicTime reclaimAt)>;

/// Keeps the table of backend servers current: from the platform's host list, which lags, its reclaim notices, the servers'
/// load reports and the engines' cache events. Used from the runtime's thread only.
class BackendWatcher {
public:
    /// The callback tells the number of nodes in the own data centre. Precondition: all references outlive the watcher, which
    /// outlives its tasks.
    BackendWatcher(Core::Runtime&, HTTP::Client&, NodeTables&, Core::Random&, BackendWatcherSettings, std::function<std::size_t()> nodesInDataCentre);

    void start();
    /// Ends the tasks at their next step.
    void stop() { m_running = false; }

    /// Sets how many bytes a second load reports and cache events may take, requests and packet headers included.
    void setBytesPerSecond(double);

    /// Merges the platform's list of backend servers into the table.
    void mergeServers(std::vector<Peer::ServerEntry> const&);

    /// Marks the servers among the hosts as leaving and tells the listener of reclaims.
    void addNotices(std::vector<Peer::ReclaimNotice> const&);

    /// Called for each reclaim notice, also for hosts that are no backend servers.
    void onReclaim(ReclaimListener listener) { m_onReclaim = std::move(listener); }

    /// Called when a server is first seen to be leaving, with its incarnation.
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
    /// The sequence to read cache events after, by server and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_cacheSequences;
    bool m_running { false };
};

}
