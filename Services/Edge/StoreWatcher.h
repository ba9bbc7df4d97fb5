#pragma once

#include <Edge/EdgeSettings.h>
#include <Edge/EdgeTables.h>
#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibForward/PlatformCodec.h>
#include <LibHTTP/Client.h>
#include <functional>

namespace Edge {

/// Upper bounds of a connection attempt to the store and of the delay after a failed call. Within three seconds of the end of a
/// network partition, a node must have read the store and dropped the servers that were removed during the partition.
inline constexpr Core::Duration storeConnectTimeout = std::chrono::milliseconds(500);
inline constexpr Core::Duration initialStoreRetryDelay = std::chrono::milliseconds(100);
inline constexpr Core::Duration maximumStoreRetryDelay = std::chrono::milliseconds(300);

/// Each call to the store is billed, and a watch returns on the first of several changes that occur together.
inline constexpr Core::Duration changeBatchingDelay = std::chrono::milliseconds(250);

/// Longer watches need fewer calls, but a watch on a connection that went silent is detected only at its end. Within three seconds of
/// that, a node must have read the store again. The difference makes the nodes' watches end at different times, so that the first node
/// that reads a change can notify the others.
inline constexpr std::chrono::milliseconds minimumWatchDuration { 1500 };
inline constexpr std::chrono::milliseconds maximumWatchDuration { 2500 };

/// Watches the platform's store and applies its changes to the configuration and the servers. Fetches them from peers while the store
/// fails or while other nodes watch the store for this one. Used from the runtime's thread only.
class StoreWatcher {
public:
    /// Precondition: all references outlive the watcher, which outlives its tasks.
    StoreWatcher(Core::Runtime&, Platform::ObjectStore&, HTTP::Client& peerClient, Forward::PlatformCodec const&, EdgeTables&, EdgeSettings const&, Core::Random&, Core::Metrics&);

    void start();

    /// Applies time-dependent changes of the server directory, and fetches newer data from a peer.
    void tick();

    /// Fetches a newer configuration from a peer or, while this node does not watch the store, a newer server list. Called when a
    /// report arrives.
    void fetchNewerFromPeers();

    /// Whether this node watches the store itself and its recent calls succeeded.
    [[nodiscard]] bool isWatchingStore() const;

    /// Sets the function that is called after a configuration or server change that peers may not have yet.
    void onChange(std::function<void()> listener) { m_changeListener = std::move(listener); }

    /// JSON texts served to peers; nullopt if this node has no configuration.
    [[nodiscard]] std::optional<std::string> configurationForPeers() const;
    [[nodiscard]] std::string const& serversForPeers();

private:
    enum class Resource {
        Configuration,
        Servers,
    };

    /// Result of the recent calls for one resource.
    struct CallStatus {
        bool isUnavailable { false };
        std::uint32_t failures { 0 };
        Core::MonotonicTime succeededAt {};
        bool isFetching { false };
        /// When a peer first reported newer data than this node's; empty while none does.
        std::optional<Core::MonotonicTime> outdatedSince;
        /// The data of this node then.
        Forward::PeerDataVersion outdatedVersion;
    };

    [[nodiscard]] Core::Awaitable<void> watch(Resource);
    [[nodiscard]] Core::Awaitable<void> waitUntilWatching();
    [[nodiscard]] Core::Awaitable<bool> list(Resource, Core::StoreRevision& version, Core::Error&);
    [[nodiscard]] Core::Awaitable<void> fetchFromPeer(Resource, std::string peer, Core::Endpoint);
    void recordFailedFetch(Resource, std::string const& peer, std::string const& reason);
    void fetchIfOutdated(Resource, Forward::PeerDataVersion known);
    void startFetch(Resource, Forward::NodeReport const& peer);
    [[nodiscard]] std::string objectKind(Resource) const;
    /// Record a failed watch and a failed list. Return the time until the next call.
    [[nodiscard]] Core::Duration recordWatchFailure(Resource, Core::Error const&);
    [[nodiscard]] Core::Duration recordFailure(Resource, Core::Error const&);
    void recordSuccess(Resource);
    void applyConfiguration(std::string const& value, std::string_view source);
    void applyServerEntry(Platform::StoredObject const&);
    /// Logs an entry that names no server, once for each version.
    void logRefusedEntry(Platform::StoredObject const&, Core::Error const&);
    void mergeServers(Platform::ObjectList const&);
    void logServersLeftOut(std::vector<Routing::ListedServer> const& used, std::string_view source) const;
    /// Takes over the servers in use. The source, the store or a peer, is for the log.
    void updateServerTable(std::string_view source);
    void notifyChange();
    CallStatus& callStatus(Resource resource) { return resource == Resource::Configuration ? m_configurationStatus : m_serversStatus; }

    Core::Runtime& m_runtime;
    Platform::ObjectStore& m_store;
    HTTP::Client& m_peerClient;
    Forward::PlatformCodec const& m_codec;
    EdgeTables& m_tables;
    EdgeSettings const& m_settings;
    Core::Random& m_random;
    Core::Metrics& m_metrics;
    CallStatus m_configurationStatus;
    CallStatus m_serversStatus;
    /// The last result of Forward::shouldWatchStore().
    bool m_shouldWatch { true };
    std::function<void()> m_changeListener;
    /// The versions of the refused entries that were logged, by name.
    std::map<std::string, Core::StoreRevision> m_refusedEntries;
    Core::MonotonicTime m_serversFetchedAt {};
    /// The last call of updateServerTable().
    Core::MonotonicTime m_serversUpdatedAt {};
    /// The list for peers and the revision that it reflects; many peers fetch the same one.
    std::string m_serversForPeers;
    std::optional<Core::StoreRevision> m_serversForPeersRevision;
};

}
