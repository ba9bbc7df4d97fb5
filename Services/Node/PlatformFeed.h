#pragma once

#include <LibCore/Random.h>
#include <LibCore/Runtime.h>
#include <LibMembership/MembershipService.h>
#include <LibMembership/PlatformData.h>
#include <LibPeer/PeerClient.h>
#include <LibPlatform/Cloud.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Node {

struct PlatformFeedSettings {
    Core::Duration callTimeout { std::chrono::milliseconds(500) };
    Core::Duration noticeTimeout { std::chrono::seconds(20) };
    /// Minimum interval between two reads of the platform's host list by a relay.
    Core::Duration listInterval { std::chrono::seconds(1) };
    /// Bandwidth that a relay may use to read the platform's host list. At the design size (docs/design.md), each of 14 relays reads
    /// it every 560 s, so that a change is found after about 37 s on average.
    std::size_t listBytesPerSecond { 500 };
    /// Interval between two reads by a node that gets no data from its relays.
    Core::Duration fallbackInterval { std::chrono::seconds(15) };
    /// How long a relay may hold a call open until its data changes. Each halving costs a relay that serves 59 nodes 0.8 KB/s.
    Core::Duration peerLongPollTimeout { std::chrono::seconds(60) };
    Core::Duration retryInterval { std::chrono::milliseconds(500) };
    /// The list counts as stale when its age exceeds this time plus two read intervals and one peer long-poll timeout.
    Core::Duration staleAfter { std::chrono::seconds(10) };

    bool operator==(PlatformFeedSettings const&) const = default;
};

/// Fetches the platform's list of backend servers and its reclaim notices, and serves them to other nodes. Relays read them from
/// the platform and from each other; other nodes keep a long poll open at each of two relays. If no relay has current data, the
/// node polls the platform itself at a low rate. If the platform is unreachable too, the last known data stays in use.
/// Used from the runtime's thread only.
class PlatformFeed {
public:
    /// Precondition: all references outlive the feed, which outlives its tasks.
    PlatformFeed(Core::Runtime&, Platform::Cloud&, Peer::PeerClient&, Membership::MembershipService&, Core::Random&, PlatformFeedSettings);

    void start();
    /// Ends the tasks at their next step, and replies to the calls of peers that are held open.
    void stop();

    /// The listener is called with the complete list after each change and each time the list was read again.
    void onServers(std::function<void(std::vector<Peer::ServerEntry> const&)> listener) { m_onServers = std::move(listener); }
    /// The listener is called with the notices that are new to this node.
    void onNotices(std::function<void(std::vector<Peer::ReclaimNotice> const&)> listener) { m_onNotices = std::move(listener); }

    /// Replies to a peer's call as soon as there is newer data for it, at the latest after the wait time in the request.
    [[nodiscard]] Core::Awaitable<Peer::FetchPlatformDataReply> handle(Peer::FetchPlatformDataRequest);

private:
    struct Waiter;

    [[nodiscard]] Core::Awaitable<void> pollHostList();
    [[nodiscard]] Core::Awaitable<bool> readHostList();
    [[nodiscard]] Core::Awaitable<void> watchNotices();
    [[nodiscard]] Core::Awaitable<void> followRelay(std::size_t slot);
    [[nodiscard]] std::vector<Membership::PlatformDataSource> sources() const;
    [[nodiscard]] bool isSourceInUse(Membership::PlatformDataSource) const;
    [[nodiscard]] std::optional<Core::Endpoint> chooseRelay(std::size_t slot);
    [[nodiscard]] std::optional<Core::Endpoint> chooseRemoteRelay();
    [[nodiscard]] Core::Duration currentListInterval() const;
    [[nodiscard]] Core::Duration jittered(Core::Duration);
    void notifyListeners(Membership::PlatformDataUpdate const&);
    void wakeWaiters();

    Core::Runtime& m_runtime;
    Platform::Cloud& m_cloud;
    Peer::PeerClient& m_peers;
    Membership::MembershipService& m_membership;
    Core::Random& m_random;
    PlatformFeedSettings m_settings;
    Membership::PlatformData m_data;
    std::size_t m_listBytes { 0 };
    /// The version at the last call of notifyListeners().
    std::uint64_t m_notifiedVersion { 0 };
    /// Whether the last call to a relay of another data centre failed; the next one is then chosen from any other data centre.
    bool m_remoteRelayFailed { false };
    std::vector<std::weak_ptr<Waiter>> m_waiters;
    std::function<void(std::vector<Peer::ServerEntry> const&)> m_onServers;
    std::function<void(std::vector<Peer::ReclaimNotice> const&)> m_onNotices;
    bool m_running { false };
};

}
