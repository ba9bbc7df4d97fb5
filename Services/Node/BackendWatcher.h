#pragma once

#include <LibCore/Random.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/Client.h>
#include <LibPlatform/Cloud.h>
#include <Node/NodeTables.h>
#include <functional>
#include <set>
#include <string>

namespace Node {

struct BackendWatcherSettings {
    std::string dataCentre;
    Core::Duration hostListInterval { std::chrono::seconds(1) };
    /// Between two load reports of a server of the own data centre; others are asked a quarter as often.
    Core::Duration loadInterval { std::chrono::milliseconds(250) };
    Core::Duration cacheEventInterval { std::chrono::milliseconds(500) };
    Core::Duration callTimeout { std::chrono::milliseconds(500) };
    Core::Duration noticeTimeout { std::chrono::seconds(20) };
};

/// Hosts that the platform announced to reclaim, and when at the latest.
using ReclaimListener = std::function<void(std::set<std::string> const& hostIds, Core::MonotonicTime reclaimAt)>;

/// Keeps the table of backend servers current: from the platform's host list, which lags, its reclaim notices, the servers'
/// load reports and the engines' cache events. Used from the runtime's thread only.
class BackendWatcher {
public:
    /// Precondition: all references outlive the watcher, which outlives its tasks.
    BackendWatcher(Core::Runtime&, Platform::Cloud&, HTTP::Client&, NodeTables&, Core::Random&, BackendWatcherSettings);

    void start();
    /// Ends the tasks at their next step.
    void stop() { m_running = false; }

    /// Called for each reclaim notice, also for hosts that are no backend servers.
    void onReclaim(ReclaimListener listener) { m_onReclaim = std::move(listener); }

    /// Called when a server is first seen to be leaving, with its incarnation.
    void onServerLeaving(std::function<void(std::string const&, std::uint64_t)> listener) { m_onServerLeaving = std::move(listener); }

private:
    [[nodiscard]] Core::Awaitable<void> watchHostList();
    [[nodiscard]] Core::Awaitable<void> watchNotices();
    [[nodiscard]] Core::Awaitable<void> watchServer(std::string serverId, std::uint64_t incarnation);
    [[nodiscard]] Core::Awaitable<void> readLoad(std::string serverId, std::uint64_t incarnation);
    [[nodiscard]] Core::Awaitable<std::uint64_t> readCacheEvents(std::string serverId, std::uint64_t after);
    void startWatches();
    void noteLeaving(std::string const& serverId, std::uint64_t incarnation);
    [[nodiscard]] Routing::ServerRow* findIncarnation(std::string const& serverId, std::uint64_t incarnation);
    [[nodiscard]] bool isModel(Routing::ServerRow const&) const;
    [[nodiscard]] Core::Duration jittered(Core::Duration);

    Core::Runtime& m_runtime;
    Platform::Cloud& m_cloud;
    HTTP::Client& m_client;
    NodeTables& m_tables;
    Core::Random& m_random;
    BackendWatcherSettings m_settings;
    ReclaimListener m_onReclaim;
    std::function<void(std::string const&, std::uint64_t)> m_onServerLeaving;
    std::set<std::pair<std::string, std::uint64_t>> m_watched;
    bool m_running { false };
};

}
