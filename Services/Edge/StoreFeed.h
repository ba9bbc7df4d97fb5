#pragma once

#include <Edge/EdgeSettings.h>
#include <Edge/EdgeTables.h>
#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibForward/PlatformCodec.h>
#include <LibHTTP/Client.h>
#include <functional>

namespace Edge {

/// Bounds of a connection attempt to the store, and of the pause after a failed call. A node that was cut off must have read the
/// store, and have dropped the servers that left meanwhile, within three seconds of the cut's end.
inline constexpr Core::Duration storeConnectTimeout = std::chrono::milliseconds(500);
inline constexpr Core::Duration longestStorePause = std::chrono::milliseconds(300);

/// Keeps the configuration and the servers as the platform's store has them, and takes them from other nodes while the store
/// refuses this one. Used from the runtime's thread only.
class StoreFeed {
public:
    /// Precondition: all references outlive the feed, which outlives its tasks.
    StoreFeed(Core::Runtime&, Platform::ObjectStore&, HTTP::Client& peerClient, Forward::PlatformCodec const&, EdgeTables&, EdgeSettings const&, Core::Random&, Core::Metrics&);

    void start();

    /// Applies changes that come with time, and asks a peer that knows more.
    void tick();

    /// Asks a peer that knows a newer configuration or, where this node does not read the store, newer servers. Called when a report
    /// arrives.
    void askPeers();

    /// Whether this node reads the store itself, and succeeds.
    [[nodiscard]] bool followsStore() const;

    /// Called when a configuration or servers became known that other nodes may not know.
    void onNews(std::function<void()> listener) { m_newsListener = std::move(listener); }

    /// What other nodes get from this one; nothing if this node does not know it.
    [[nodiscard]] std::optional<std::string> configurationForPeers() const;
    [[nodiscard]] std::string serversForPeers() const;

private:
    enum class Subject {
        Configuration,
        Servers,
    };

    /// How the last calls for one subject went.
    struct Contact {
        bool isLost { false };
        std::uint32_t failures { 0 };
        Core::MonotonicTime succeededAt {};
    };

    [[nodiscard]] Core::Awaitable<void> follow(Subject);
    [[nodiscard]] Core::Awaitable<void> waitForTurn();
    [[nodiscard]] Core::Awaitable<bool> list(Subject, std::uint64_t& version, Core::Error&);
    [[nodiscard]] Core::Awaitable<void> fetchFromPeer(Subject, std::string peer, Core::Endpoint);
    void beginFetch(Subject, Forward::NodeReport const& peer);
    [[nodiscard]] std::string kindOf(Subject) const;
    [[nodiscard]] Core::Duration recordFailure(Subject, Core::Error const&);
    void recordSuccess(Subject);
    void offerConfiguration(std::string const& value, std::string_view source);
    void offerServer(Platform::StoredObject const&);
    void replaceServers(std::vector<Platform::StoredObject> const&);
    void applyServers();
    void announceNews();
    Contact& contactOf(Subject subject) { return subject == Subject::Configuration ? m_configurationContact : m_serversContact; }

    Core::Runtime& m_runtime;
    Platform::ObjectStore& m_store;
    HTTP::Client& m_peerClient;
    Forward::PlatformCodec const& m_codec;
    EdgeTables& m_tables;
    EdgeSettings const& m_settings;
    Core::Random& m_random;
    Core::Metrics& m_metrics;
    Contact m_configurationContact;
    Contact m_serversContact;
    /// When a peer was first seen to know a newer configuration.
    std::optional<Core::MonotonicTime> m_behindSince;
    bool m_fetching { false };
    /// Whether it is this node's turn to read the store.
    bool m_isFollower { true };
    std::function<void()> m_newsListener;
    Core::MonotonicTime m_fetchedServersAt {};
};

}
