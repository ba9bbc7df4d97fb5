#pragma once

#include <Edge/EdgeSettings.h>
#include <Edge/EdgeTables.h>
#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibForward/PlatformCodec.h>
#include <LibHTTP/Client.h>
#include <functional>

namespace Edge {

/// Bounds of a connection attempt to the store, and of the delay after a failed call. A node that was cut off must have read the
/// store, and have dropped the servers that left meanwhile, within three seconds of the cut's end.
inline constexpr Core::Duration storeConnectTimeout = std::chrono::milliseconds(500);
inline constexpr Core::Duration maximumStoreRetryDelay = std::chrono::milliseconds(300);

/// Keeps the configuration and the servers as the platform's store has them, and takes them from other nodes while the store
/// refuses this one. Used from the runtime's thread only.
class StoreWatcher {
public:
    /// Precondition: all references outlive the feed, which outlives its tasks.
    StoreWatcher(Core::Runtime&, Platform::ObjectStore&, HTTP::Client& peerClient, Forward::PlatformCodec const&, EdgeTables&, EdgeSettings const&, Core::Random&, Core::Metrics&);

    void start();

    /// Applies changes that come with time, and asks a peer that knows more.
    void tick();

    /// Asks a peer that knows a newer configuration or, where this node does not read the store, newer servers. Called when a report
    /// arrives.
    void fetchNewerFromPeers();

    /// Whether this node reads the store itself, and succeeds.
    [[nodiscard]] bool followsStore() const;

    /// Called when a configuration or servers became known that other nodes may not know.
    void onChange(std::function<void()> listener) { m_changeListener = std::move(listener); }

    /// What other nodes get from this one; nothing if this node does not know it.
    [[nodiscard]] std::optional<std::string> configurationForPeers() const;
    [[nodiscard]] std::string serversForPeers() const;

private:
    enum class Resource {
        Configuration,
        Servers,
    };

    /// How the last calls for one resource went.
    struct CallStatus {
        bool isUnavailable { false };
        std::uint32_t failures { 0 };
        Core::MonotonicTime succeededAt {};
    };

    [[nodiscard]] Core::Awaitable<void> watch(Resource);
    [[nodiscard]] Core::Awaitable<void> waitUntilFollower();
    [[nodiscard]] Core::Awaitable<bool> list(Resource, std::uint64_t& version, Core::Error&);
    [[nodiscard]] Core::Awaitable<void> fetchFromPeer(Resource, std::string peer, Core::Endpoint);
    void startFetch(Resource, Forward::NodeReport const& peer);
    [[nodiscard]] std::string objectKind(Resource) const;
    [[nodiscard]] Core::Duration recordFailure(Resource, Core::Error const&);
    void recordSuccess(Resource);
    void applyConfiguration(std::string const& value, std::string_view source);
    void applyServerEntry(Platform::StoredObject const&);
    void replaceServers(std::vector<Platform::StoredObject> const&);
    void updateServerTable();
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
    /// When a peer was first seen to know a newer configuration.
    std::optional<Core::MonotonicTime> m_behindSince;
    bool m_isFetching { false };
    /// Whether it is this node's turn to read the store.
    bool m_isFollower { true };
    std::function<void()> m_changeListener;
    Core::MonotonicTime m_serversFetchedAt {};
};

}
