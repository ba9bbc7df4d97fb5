#include <LibMembership/MembershipService.h>

#include <LibCore/Log.h>
#include <LibPeer/PeerCodec.h>
#include <algorithm>

namespace Membership {

/// Urgent changes are sent to two random nodes in each of this many ticks, which reaches 60 nodes in about 5 ticks.
static constexpr unsigned urgentRounds = 3;
static constexpr unsigned urgentPartners = 2;
/// Fetching a configuration of 1 MB takes longer than an exchange.
static constexpr int fetchTimeoutFactor = 3;
/// More than this many ticks between two steps indicate that the process was paused.
static constexpr int pauseTicks = 10;
static constexpr std::string_view configurationKind = "desiredstates";
static constexpr std::string_view configurationName = "current";

Core::Awaitable<std::optional<Peer::ExchangeReply>> PeerClientCalls::exchange(Core::Endpoint endpoint, Peer::ExchangeRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    return m_client.exchange(std::move(endpoint), std::move(request), deadline, error);
}

Core::Awaitable<std::optional<Peer::FetchConfigurationReply>> PeerClientCalls::fetchConfiguration(Core::Endpoint endpoint, Peer::FetchConfigurationRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    return m_client.fetchConfiguration(std::move(endpoint), request, deadline, error);
}

MembershipService::MembershipService(Core::Runtime& runtime, Platform::ObjectStore& store, PeerCalls& calls, Core::Random& random, MembershipSettings settings)
    : m_runtime(runtime)
    , m_store(store)
    , m_calls(calls)
    , m_random(random)
    , m_settings(std::move(settings))
    , m_rowByteBudget(m_settings.rowBurstBytes)
{
    auto& self = m_settings.self;
    m_nodes.ownId = self.id;
    m_nodes.ownDataCentre = self.dataCentre;
    m_nodes.idsByKey.emplace(rowKey(self.id, self.incarnation), self.id);
    m_nodes.rows.emplace(self.id, self);
    m_configuration.onChange([this] {
        m_nodes.rows.at(m_nodes.ownId).configurationGeneration = m_configuration.generation();
        scheduleUrgentExchanges();
    });
}

void MembershipService::start()
{
    ++m_runId;
    // The time of the last step is kept across a stop, so that the first step after it does not expire all other rows.
    if (m_lastStepAt == Core::MonotonicTime {})
        m_lastStepAt = m_runtime.now();
    m_runtime.spawn(runTicks(m_runId));
    m_runtime.spawn(runConfigurationWatch(m_runId));
}

void MembershipService::stop()
{
    ++m_runId;
}

Core::Awaitable<void> MembershipService::runTicks(std::uint64_t runId)
{
    while (m_runId == runId) {
        step();
        co_await m_runtime.sleepFor(m_settings.tickInterval);
    }
}

void MembershipService::step()
{
    auto const now = m_runtime.now();
    auto const elapsed = now - m_lastStepAt;
    m_lastStepAt = now;
    if (elapsed > pauseTicks * m_settings.tickInterval) {
        Core::logEvent(Core::LogLevel::Warning, "node_was_paused", { { "seconds", std::chrono::duration<double>(elapsed).count() } });
        compensateForPause(m_nodes, elapsed);
    }
    auto const refill = std::chrono::duration<double>(elapsed).count() * static_cast<double>(m_settings.rowBytesPerSecond);
    m_rowByteBudget = std::min(m_settings.rowBurstBytes, m_rowByteBudget + static_cast<std::size_t>(refill));

    if (now >= m_nextExchangeAt) {
        // Done once per exchange: at 413 nodes, doing it in each tick took a third of the time of the whole service.
        for (auto const& change : expireNodes(m_nodes, m_settings.expiry, now)) {
            auto const* const state = change.dropped ? "dropped" : change.liveness == Liveness::Dead ? "dead"
                                                                                                     : "suspected";
            Core::logEvent(Core::LogLevel::Info, "node_state", { { "node", change.id }, { "state", state } });
        }
        expireGossipState(m_nodes, m_gossip, m_settings.limits, wallMilliseconds());
        // A jitter of 10 % desynchronizes nodes that started together.
        auto const variation = 0.9 + 0.2 * m_random.unit();
        m_nextExchangeAt = now + std::chrono::duration_cast<Core::Duration>(m_settings.exchangeInterval * variation);
        ++m_nodes.rows.at(m_nodes.ownId).heartbeat;
        auto const remoteDue = now >= m_nextRemoteExchangeAt;
        if (remoteDue)
            m_nextRemoteExchangeAt = now + std::chrono::duration_cast<Core::Duration>(m_settings.remoteExchangeInterval * variation);
        startExchanges(remoteDue ? ExchangeRound::LocalAndRemote : ExchangeRound::Local);
    }
    if (m_urgentRoundsLeft > 0)
        startUrgentExchanges();
}

void MembershipService::startExchanges(ExchangeRound round)
{
    auto const partners = chooseExchangePartners(m_nodes, m_settings.seeds, round, m_random);
    for (auto const& endpoint : partners.local)
        m_runtime.spawn(exchangeWith(endpoint, createExchangeMessage(m_nodes, m_gossip, m_settings.limits, PartnerLocation::SameDataCentre, m_random)));
    for (auto const& endpoint : partners.remote)
        m_runtime.spawn(exchangeWith(endpoint, createExchangeMessage(m_nodes, m_gossip, m_settings.limits, PartnerLocation::OtherDataCentre, m_random)));
}

void MembershipService::scheduleUrgentExchanges()
{
    m_urgentRoundsLeft = urgentRounds;
}

void MembershipService::startUrgentExchanges()
{
    auto nodes = nodesOf(m_nodes, m_nodes.ownDataCentre, NodeFilter::NotDead);
    std::erase_if(nodes, [&](auto const* row) { return row->id == m_nodes.ownId; });
    std::shuffle(nodes.begin(), nodes.end(), m_random.engine());
    nodes.resize(std::min<std::size_t>(nodes.size(), urgentPartners));
    // Relays send urgent changes to each other data centre once.
    if (m_urgentRoundsLeft == urgentRounds && isRelay()) {
        std::map<std::string_view, NodeRow const*> remote;
        for (auto const& [id, row] : m_nodes.rows) {
            if (row.dataCentre != m_nodes.ownDataCentre && !remote.contains(row.dataCentre)) {
                auto const relays = relaysOf(m_nodes, row.dataCentre);
                if (!relays.empty())
                    remote.emplace(row.dataCentre, relays[m_random.below(relays.size())]);
            }
        }
        for (auto const& [name, row] : remote)
            nodes.push_back(row);
    }
    for (auto const* node : nodes)
        m_runtime.spawn(exchangeWith(node->peerEndpoint, createUrgentMessage(m_nodes, m_gossip)));
    if (--m_urgentRoundsLeft == 0) {
        m_gossip.recentMarks.clear();
        m_gossip.recentQuarantine.clear();
    }
}

MergeResult MembershipService::merge(Peer::ExchangeMessage const& message)
{
    m_exchangedBytes += Peer::encodedBytes(message);
    auto result = mergeMessage(m_nodes, m_gossip, m_settings.limits, message, m_runtime.now(), wallMilliseconds());
    if (!result.newMarks.empty() || result.newQuarantine)
        scheduleUrgentExchanges();
    for (auto const& [serverId, incarnation] : result.newMarks) {
        for (auto const& listener : m_serverLeavingListeners)
            listener(serverId, incarnation);
    }
    return result;
}

void MembershipService::countSent(Peer::ExchangeMessage const& message)
{
    m_exchangedBytes += Peer::encodedBytes(message);
    if (message.rows.empty())
        return;
    auto withoutRows = message;
    withoutRows.rows.clear();
    m_rowByteBudget -= std::min(m_rowByteBudget, Peer::encodedBytes(message) - Peer::encodedBytes(withoutRows));
}

Core::Awaitable<void> MembershipService::exchangeWith(Core::Endpoint endpoint, Peer::ExchangeMessage message)
{
    Core::Error error;
    for (int round = 0; round < 2; ++round) {
        countSent(message);
        Peer::ExchangeRequest request { std::move(message) };
        auto const deadline = m_runtime.now() + m_settings.callTimeout;
        auto const reply = co_await m_calls.exchange(endpoint, std::move(request), deadline, error);
        if (!reply)
            co_return;
        auto const result = merge(reply->message);
        fetchIfNewer(reply->message, endpoint);
        auto next = createFollowUpMessage(m_nodes, m_gossip, m_settings.limits, reply->message, result, m_rowByteBudget);
        if (!next)
            co_return;
        message = std::move(*next);
    }
}

Peer::ExchangeReply MembershipService::handle(Peer::ExchangeRequest const& request)
{
    auto const result = merge(request.message);
    Peer::ExchangeReply reply { createReplyMessage(m_nodes, m_gossip, m_settings.limits, request.message, result, m_rowByteBudget, m_random) };
    countSent(reply.message);
    fetchIfNewer(request.message, std::nullopt);
    return reply;
}

void MembershipService::fetchIfNewer(Peer::ExchangeMessage const& received, std::optional<Core::Endpoint> source)
{
    if (received.sender.configurationGeneration <= m_configuration.generation())
        return;
    // If a peer is slow to reply, another one is called as well, so that a dead peer delays the change only by half a timeout.
    if (m_fetchesInProgress > 0 && m_runtime.now() - m_lastFetchAt < m_settings.callTimeout / 2)
        return;
    if (auto const* const row = m_nodes.find(received.sender.id); row && !source)
        source = row->peerEndpoint;
    if (!source)
        return;
    ++m_fetchesInProgress;
    m_lastFetchAt = m_runtime.now();
    m_runtime.spawn(fetchConfigurationFrom(*source));
}

Core::Awaitable<void> MembershipService::fetchConfigurationFrom(Core::Endpoint endpoint)
{
    Core::Error error;
    Peer::FetchConfigurationRequest const request { m_configuration.generation() };
    auto const deadline = m_runtime.now() + fetchTimeoutFactor * m_settings.callTimeout;
    auto reply = co_await m_calls.fetchConfiguration(endpoint, request, deadline, error);
    --m_fetchesInProgress;
    if (reply && !reply->json.empty() && m_configuration.applyJsonIfNewer(std::move(reply->json)))
        Core::logEvent(Core::LogLevel::Info, "configuration_changed", { { "generation", m_configuration.generation() }, { "source", endpoint.toString() } });
}

Peer::FetchConfigurationReply MembershipService::handle(Peer::FetchConfigurationRequest const& request) const
{
    if (m_configuration.generation() <= request.aboveGeneration)
        return { m_configuration.generation(), {} };
    return { m_configuration.generation(), m_configuration.json() };
}

Core::Awaitable<void> MembershipService::runConfigurationWatch(std::uint64_t runId)
{
    while (m_runId == runId) {
        bool done = true;
        // A node without a configuration reads it from the platform, because its peers may have none either.
        if (isRelay() || m_configuration.generation() == 0)
            done = co_await watchConfiguration(runId);
        if (!done || !isRelay())
            co_await m_runtime.sleepFor(m_settings.storeRetryInterval);
    }
}

/// Lists the configuration and then watches it for at most watchTimeout, so that the next list makes up for a lost event.
/// Returns false if the store failed.
Core::Awaitable<bool> MembershipService::watchConfiguration(std::uint64_t runId)
{
    auto const applyObject = [this](Platform::StoredObject& object) {
        if (object.key.name == configurationName && m_configuration.applyJsonIfNewer(std::move(object.value)))
            Core::logEvent(Core::LogLevel::Info, "configuration_changed", { { "generation", m_configuration.generation() }, { "source", "platform" } });
    };
    Core::Error error;
    std::string const kind(configurationKind);
    auto const listDeadline = m_runtime.now() + fetchTimeoutFactor * m_settings.callTimeout;
    auto list = co_await m_store.list(kind, listDeadline, error);
    if (!list)
        co_return false;
    for (auto& object : list->objects)
        applyObject(object);
    auto version = list->resourceVersion;
    auto const end = m_runtime.now() + m_settings.watchTimeout;
    while (m_runId == runId && isRelay() && m_runtime.now() < end) {
        auto changes = co_await m_store.waitForChanges(kind, version, end, error);
        if (!changes)
            co_return false;
        // The platform ends a watch shortly before its deadline; repeating it for the remaining time took about 40 short calls.
        if (changes->events.empty())
            break;
        version = changes->resourceVersion;
        for (auto& event : changes->events) {
            if (event.kind == Platform::ObjectEventKind::Put)
                applyObject(event.object);
        }
    }
    co_return true;
}

void MembershipService::setLeaving()
{
    m_nodes.rows.at(m_nodes.ownId).state = NodeState::Leaving;
    scheduleUrgentExchanges();
}

void MembershipService::markServerLeaving(std::string const& serverId, std::uint64_t incarnation)
{
    auto const now = wallMilliseconds();
    if (!addLeavingMark(m_gossip, m_settings.limits, { serverId, incarnation, now + m_settings.limits.markLifetime.count() }, now))
        return;
    scheduleUrgentExchanges();
    for (auto const& listener : m_serverLeavingListeners)
        listener(serverId, incarnation);
}

bool MembershipService::isServerLeaving(std::string const& serverId, std::uint64_t incarnation) const
{
    return m_gossip.leavingMarks.contains({ serverId, incarnation });
}

void MembershipService::onServerLeaving(std::function<void(std::string const&, std::uint64_t)> listener)
{
    m_serverLeavingListeners.push_back(std::move(listener));
}

void MembershipService::setOwnUsage(std::string_view team, double requestsPerSecond, double tokensPerSecond)
{
    auto const& self = m_nodes.own();
    auto const key = rowKey(self.id, self.incarnation);
    auto const hash = teamHash(team);
    // Every exchange contains all entries of this node; with many teams, most of them would be for idle teams.
    static constexpr double idleRequestsPerSecond = 0.01;
    if (requestsPerSecond < idleRequestsPerSecond && tokensPerSecond <= 0) {
        m_gossip.usage.erase(std::pair(key, hash));
        return;
    }
    m_gossip.usage[{ key, hash }] = { key, hash, static_cast<std::uint32_t>(self.heartbeat), static_cast<float>(requestsPerSecond), static_cast<float>(tokensPerSecond) };
}

MembershipService::TeamUsage MembershipService::usageOfOtherNodes(std::string_view team) const
{
    auto const hash = teamHash(team);
    auto const& self = m_nodes.own();
    auto const ownKey = rowKey(self.id, self.incarnation);
    TeamUsage sum;
    for (auto const& [key, entry] : m_gossip.usage) {
        if (key.second != hash || key.first == ownKey)
            continue;
        sum.requestsPerSecond += entry.requestsPerSecond;
        sum.tokensPerSecond += entry.tokensPerSecond;
        ++sum.nodes;
    }
    return sum;
}

void MembershipService::quarantine(std::string const& fingerprint, std::chrono::milliseconds duration)
{
    auto const now = wallMilliseconds();
    if (addQuarantine(m_gossip, m_settings.limits, { fingerprint, now + duration.count() }, now))
        scheduleUrgentExchanges();
}

bool MembershipService::isQuarantined(std::string_view fingerprint) const
{
    auto const entry = m_gossip.quarantine.find(fingerprint);
    return entry != m_gossip.quarantine.end() && entry->second > wallMilliseconds();
}

std::int64_t MembershipService::wallMilliseconds() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch()).count();
}

}
