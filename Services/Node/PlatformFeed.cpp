#include <Node/PlatformFeed.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace Node {

using namespace std::chrono_literals;
using Membership::PlatformDataSource;

static constexpr std::size_t relaySlots = 2;
// Upper bound of the time for which a peer's call is held open.
static constexpr Core::Duration maximumPeerLongPollTimeout = 120s;

/// A peer's call that is held open until the data changes.
struct PlatformFeed::Waiter {
    explicit Waiter(Core::Runtime& runtime)
        : signal(runtime.context(), Core::asio::steady_timer::time_point::max())
    {
    }

    void wake()
    {
        woken = true;
        signal.cancel();
    }

    Core::asio::steady_timer signal;
    bool woken { false };
};

PlatformFeed::PlatformFeed(Core::Runtime& runtime, Platform::Cloud& cloud, Peer::PeerClient& peers, Membership::MembershipService& membership, Core::Random& random, PlatformFeedSettings settings)
    : m_runtime(runtime)
    , m_cloud(cloud)
    , m_peers(peers)
    , m_membership(membership)
    , m_random(random)
    , m_settings(settings)
{
    m_data.epoch = random.bits() | 1;
}

void PlatformFeed::start()
{
    m_running = true;
    m_runtime.spawn(pollHostList());
    m_runtime.spawn(watchNotices());
    for (std::size_t slot = 0; slot < relaySlots; ++slot)
        m_runtime.spawn(followRelay(slot));
}

void PlatformFeed::stop()
{
    m_running = false;
    wakeWaiters();
}

// Randomizes the interval by up to 25 % so that the calls of many nodes do not coincide.
Core::Duration PlatformFeed::jittered(Core::Duration duration)
{
    return std::chrono::duration_cast<Core::Duration>(duration * (0.75 + 0.5 * m_random.unit()));
}

Core::Duration PlatformFeed::currentListInterval() const
{
    return Membership::hostListPollInterval(m_listBytes, m_settings.listBytesPerSecond, m_settings.listInterval);
}

std::vector<PlatformDataSource> PlatformFeed::sources() const
{
    std::optional<Core::Duration> listAge;
    if (m_data.readAt)
        listAge = m_runtime.now() - *m_data.readAt;
    auto const role = m_membership.isRelay() ? Membership::RelayRole::Relay : Membership::RelayRole::Member;
    return Membership::choosePlatformDataSources(role, listAge, m_settings.staleAfter + 2 * currentListInterval() + m_settings.peerLongPollTimeout);
}

bool PlatformFeed::isSourceInUse(PlatformDataSource source) const
{
    auto const used = sources();
    return std::find(used.begin(), used.end(), source) != used.end();
}

Core::Awaitable<void> PlatformFeed::pollHostList()
{
    while (m_running) {
        if (!isSourceInUse(PlatformDataSource::Platform)) {
            co_await m_runtime.sleepFor(jittered(m_settings.retryInterval));
            continue;
        }
        bool const succeeded = co_await readHostList();
        auto interval = m_settings.listInterval;
        if (!m_membership.isRelay())
            interval = m_settings.fallbackInterval;
        else if (succeeded)
            interval = currentListInterval();
        co_await m_runtime.sleepFor(jittered(interval));
    }
}

Core::Awaitable<bool> PlatformFeed::readHostList()
{
    // Size of one host in the platform's JSON, with names as long as those in the examples.
    static constexpr std::size_t bytesPerHost = 260;
    Core::Error error;
    auto const requestedAt = m_runtime.now();
    auto const hosts = co_await m_cloud.hosts(requestedAt + m_settings.callTimeout, error);
    // While the platform is unreachable, the last known servers stay in use.
    if (!hosts)
        co_return false;
    m_listBytes = hosts->size() * bytesPerHost;
    std::vector<Peer::ServerEntry> servers;
    for (auto const& host : *hosts) {
        if (host.role == Platform::HostRole::Backend)
            servers.push_back({ host.id, host.endpoint.toString(), host.service, host.version, host.dataCentre, host.zone, host.incarnation, host.state == Platform::HostState::Leaving });
    }
    Membership::PlatformDataUpdate update;
    update.listApplied = Membership::applyServerList(m_data, servers, requestedAt);
    notifyListeners(update);
    co_return true;
}

Core::Awaitable<void> PlatformFeed::watchNotices()
{
    while (m_running) {
        if (!isSourceInUse(PlatformDataSource::Platform)) {
            co_await m_runtime.sleepFor(jittered(m_settings.retryInterval));
            continue;
        }
        // Only relays use long polling; other nodes poll, so that they do not keep calls open at the platform.
        bool const isLongPoll = m_membership.isRelay();
        Core::Error error;
        auto const deadline = m_runtime.now() + (isLongPoll ? m_settings.noticeTimeout : m_settings.callTimeout);
        auto const list = co_await m_cloud.waitForNotices(m_data.noticeSequence, deadline, error);
        if (list) {
            std::vector<Peer::ReclaimNotice> notices;
            for (auto const& notice : list->notices)
                notices.push_back({ notice.sequence, notice.hostId, notice.reclaimAtMilliseconds });
            Membership::PlatformDataUpdate update;
            update.notices = Membership::addNotices(m_data, notices, list->sequence);
            notifyListeners(update);
        }
        if (!isLongPoll)
            co_await m_runtime.sleepFor(jittered(m_settings.fallbackInterval));
        else if (!list)
            co_await m_runtime.sleepFor(jittered(m_settings.listInterval));
    }
}

std::optional<Core::Endpoint> PlatformFeed::chooseRelay(std::size_t slot)
{
    auto const& nodes = m_membership.nodes();
    auto relays = Membership::relaysOf(nodes, nodes.ownDataCentre);
    std::erase_if(relays, [&](auto const* row) { return row->id == nodes.ownId; });
    if (slot < relays.size())
        return relays[slot]->peerEndpoint;
    return isSourceInUse(PlatformDataSource::RemoteRelay) ? chooseRemoteRelay() : std::nullopt;
}

std::optional<Core::Endpoint> PlatformFeed::chooseRemoteRelay()
{
    auto const& nodes = m_membership.nodes();
    std::set<std::string> dataCentres;
    for (auto const& [id, row] : nodes.rows) {
        if (row.liveness != Membership::Liveness::Dead)
            dataCentres.insert(row.dataCentre);
    }
    auto dataCentre = Membership::nextDataCentre(dataCentres, nodes.ownDataCentre);
    if (dataCentre.empty())
        return std::nullopt;
    if (m_remoteRelayFailed) {
        dataCentres.erase(nodes.ownDataCentre);
        dataCentre = *std::next(dataCentres.begin(), static_cast<std::ptrdiff_t>(m_random.below(dataCentres.size())));
    }
    auto const relays = Membership::relaysOf(nodes, dataCentre);
    if (relays.empty())
        return std::nullopt;
    return relays[m_random.below(relays.size())]->peerEndpoint;
}

Core::Awaitable<void> PlatformFeed::followRelay(std::size_t slot)
{
    Membership::PlatformDataCursor cursor;
    std::optional<Core::Endpoint> lastEndpoint;
    while (m_running) {
        auto const endpoint = chooseRelay(slot);
        if (!endpoint) {
            co_await m_runtime.sleepFor(jittered(m_settings.retryInterval));
            continue;
        }
        if (lastEndpoint != endpoint)
            cursor = {};
        lastEndpoint = endpoint;
        auto request = Membership::createFetchRequest(m_data, cursor);
        request.waitMilliseconds = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.peerLongPollTimeout).count());
        Core::Error error;
        auto const deadline = m_runtime.now() + m_settings.peerLongPollTimeout + m_settings.callTimeout;
        auto const reply = co_await m_peers.fetchPlatformData(*endpoint, request, deadline, error);
        if (reply)
            notifyListeners(Membership::mergeReply(m_data, cursor, *reply, m_runtime.now()));
        m_remoteRelayFailed = !reply && slot + 1 == relaySlots;
        // Limits the call rate: a peer without a list replies immediately, and one whose list differs sends all of it each time.
        if (!reply || !reply->hasList)
            co_await m_runtime.sleepFor(jittered(m_settings.retryInterval));
        else if (cursor == Membership::PlatformDataCursor {})
            co_await m_runtime.sleepFor(jittered(currentListInterval()));
    }
}

void PlatformFeed::notifyListeners(Membership::PlatformDataUpdate const& update)
{
    Membership::expireNotices(m_data, std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch()).count());
    bool const changed = m_data.version != m_notifiedVersion;
    m_notifiedVersion = m_data.version;
    // Unchanged lists are reported too: a server that is no longer listed is removed only after its last request has ended.
    if (update.listApplied && m_onServers)
        m_onServers(Membership::listedServers(m_data));
    if (!update.notices.empty() && m_onNotices)
        m_onNotices(update.notices);
    if (changed || !update.notices.empty())
        wakeWaiters();
}

void PlatformFeed::wakeWaiters()
{
    for (auto const& weak : std::exchange(m_waiters, {})) {
        if (auto const waiter = weak.lock())
            waiter->wake();
    }
}

Core::Awaitable<Peer::FetchPlatformDataReply> PlatformFeed::handle(Peer::FetchPlatformDataRequest request)
{
    auto const deadline = m_runtime.now() + std::min<Core::Duration>(std::chrono::milliseconds(request.waitMilliseconds), maximumPeerLongPollTimeout);
    while (m_running && m_runtime.now() < deadline && !Membership::hasUpdateFor(m_data, request)) {
        auto const waiter = std::make_shared<Waiter>(m_runtime);
        m_waiters.push_back(waiter);
        auto const timer = m_runtime.callAt(deadline, [waiter] { waiter->wake(); });
        while (!waiter->woken)
            co_await waiter->signal.async_wait(Core::asio::as_tuple(Core::asio::use_awaitable));
    }
    co_return Membership::createFetchReply(m_data, request, m_runtime.now());
}

}
