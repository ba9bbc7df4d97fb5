#include <LibMembership/GossipState.h>

#include <algorithm>
#include <set>
#include <unordered_map>
#include <xxhash.h>

namespace Membership {

static std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint32_t teamHash(std::string_view team)
{
    return static_cast<std::uint32_t>(hashText(team));
}

static std::uint64_t rowKeyOf(NodeRow const& row)
{
    return rowKey(row.id, row.incarnation);
}

static std::uint64_t packedHeartbeatOf(NodeRow const& row)
{
    return packHeartbeat(rowKeyOf(row), row.heartbeat);
}

/// Independent of the order of entries. Expiry is excluded, because it may differ between nodes for a while.
static std::uint64_t marksHash(GossipState const& state)
{
    std::uint64_t hash = 0;
    for (auto const& [key, expiry] : state.leavingMarks)
        hash ^= hashText(key.first, key.second);
    return hash;
}

static std::uint64_t quarantineHash(GossipState const& state)
{
    std::uint64_t hash = 0;
    for (auto const& [fingerprint, expiry] : state.quarantine)
        hash ^= hashText(fingerprint);
    return hash;
}

/// Digests of the other data centres by name. This node's data centre needs none, since all its heartbeats are sent.
static std::map<std::string_view, std::uint64_t> dataCentreDigests(NodeTable const& nodes)
{
    std::map<std::string_view, std::uint64_t> digests;
    for (auto const& [id, row] : nodes.rows) {
        if (row.dataCentre == nodes.ownDataCentre || row.liveness == Liveness::Dead)
            continue;
        auto const key = rowKeyOf(row);
        digests.try_emplace(row.dataCentre, hashText(row.dataCentre)).first->second ^= XXH3_64bits(&key, sizeof(key));
    }
    return digests;
}

void expireGossipState(NodeTable const& nodes, GossipState& state, GossipLimits const& limits, std::int64_t wallMilliseconds)
{
    std::erase_if(state.leavingMarks, [&](auto const& entry) { return entry.second <= wallMilliseconds; });
    std::erase_if(state.quarantine, [&](auto const& entry) { return entry.second <= wallMilliseconds; });
    std::erase_if(state.usage, [&](auto const& entry) {
        auto const id = nodes.idsByKey.find(entry.first.first);
        if (id == nodes.idsByKey.end())
            return true;
        auto const& row = nodes.rows.at(id->second);
        return row.liveness == Liveness::Dead || row.heartbeat > entry.second.heartbeat + limits.usageLifetimeHeartbeats;
    });
    std::erase_if(state.forwards, [&](auto const& entry) { return !nodes.idsByKey.contains(entry.first); });
}

template <typename Map, typename Key>
static bool extendExpiry(Map& map, Key const& key, std::int64_t expiry, std::chrono::milliseconds lifetime, std::int64_t wallMilliseconds)
{
    if (expiry <= wallMilliseconds)
        return false;
    auto const [entry, added] = map.emplace(key, 0);
    entry->second = std::max(entry->second, std::min(expiry, wallMilliseconds + lifetime.count()));
    return added;
}

bool addLeavingMark(GossipState& state, GossipLimits const& limits, Peer::LeavingMark const& mark, std::int64_t wallMilliseconds)
{
    MarkKey const key { mark.serverId, mark.incarnation };
    if (!extendExpiry(state.leavingMarks, key, mark.expiresAtMilliseconds, limits.markLifetime, wallMilliseconds))
        return false;
    state.recentMarks.push_back(key);
    return true;
}

bool addQuarantine(GossipState& state, GossipLimits const& limits, Peer::QuarantineEntry const& entry, std::int64_t wallMilliseconds)
{
    if (!extendExpiry(state.quarantine, entry.fingerprint, entry.expiresAtMilliseconds, limits.quarantineLifetime, wallMilliseconds))
        return false;
    state.recentQuarantine.push_back(entry.fingerprint);
    return true;
}

Peer::NodeEntry toEntry(NodeRow const& row)
{
    return { row.id, row.peerEndpoint.toString(), row.clientEndpoint.toString(), row.dataCentre, row.region, row.incarnation,
        row.heartbeat, row.configurationGeneration, row.state == NodeState::Leaving };
}

static std::optional<NodeRow> toRow(Peer::NodeEntry const& entry)
{
    Core::Error error;
    auto const peer = Core::parseEndpoint(entry.peerEndpoint, error);
    auto const client = Core::parseEndpoint(entry.clientEndpoint, error);
    if (entry.id.empty() || entry.dataCentre.empty() || !peer || !client)
        return std::nullopt;
    return NodeRow { entry.id, *peer, *client, entry.dataCentre, entry.region, entry.incarnation, entry.heartbeat,
        entry.leaving ? NodeState::Leaving : NodeState::Live, entry.configurationGeneration };
}

/// Bytes of an encoded row: 4 words of numbers, 5 pointers, and texts with their terminator, padded to whole words.
static std::size_t encodedRowBytes(Peer::NodeEntry const& entry)
{
    auto const text = [](std::string const& value) { return (value.size() + 8) / 8 * 8; };
    return 72 + text(entry.id) + text(entry.peerEndpoint) + text(entry.clientEndpoint) + text(entry.dataCentre) + text(entry.region);
}

/// Creates a message that identifies the sender, without the attributes that receivers read from the sender's row.
static Peer::ExchangeMessage newMessage(NodeTable const& nodes, GossipState const& state)
{
    Peer::ExchangeMessage message;
    message.sender = toEntry(nodes.own());
    message.sender.peerEndpoint.clear();
    message.sender.clientEndpoint.clear();
    message.sender.region.clear();
    message.marksHash = marksHash(state);
    message.quarantineHash = quarantineHash(state);
    return message;
}

static void addHeartbeat(Peer::ExchangeMessage& message, NodeRow const& row)
{
    message.heartbeats.push_back(packedHeartbeatOf(row));
    if (row.state == NodeState::Leaving)
        message.leavingNodes.push_back(rowKeyOf(row));
}

using KnownHeartbeats = std::unordered_map<std::uint64_t, std::uint64_t>;

/// Adds heartbeats of other data centres that the partner does not have: those to be forwarded first, then random ones.
static void addRemoteHeartbeats(Peer::ExchangeMessage& message, NodeTable const& nodes, GossipState& state, GossipLimits const& limits, KnownHeartbeats const& known, Core::Random& random)
{
    std::vector<NodeRow const*> forwarded;
    std::vector<NodeRow const*> others;
    for (auto const& [id, row] : nodes.rows) {
        if (row.dataCentre == nodes.ownDataCentre || row.liveness == Liveness::Dead)
            continue;
        auto const entry = known.find(rowKeyOf(row));
        if (entry != known.end() && entry->second >= row.heartbeat)
            continue;
        auto const forward = state.forwards.find(rowKeyOf(row));
        (forward != state.forwards.end() && forward->second.remaining > 0 ? forwarded : others).push_back(&row);
    }
    std::shuffle(forwarded.begin(), forwarded.end(), random.engine());
    std::shuffle(others.begin(), others.end(), random.engine());
    forwarded.resize(std::min(forwarded.size(), limits.remoteHeartbeatsPerMessage));
    others.resize(std::min(others.size(), limits.remoteHeartbeatsPerMessage - forwarded.size()));
    for (auto const* row : forwarded) {
        addHeartbeat(message, *row);
        --state.forwards.at(rowKeyOf(*row)).remaining;
    }
    for (auto const* row : others)
        addHeartbeat(message, *row);
}

/// Adds the usage of this node and a random selection of that of other nodes.
static void addUsage(Peer::ExchangeMessage& message, NodeTable const& nodes, GossipState const& state, GossipLimits const& limits, Core::Random& random)
{
    auto const ownKey = rowKeyOf(nodes.own());
    std::vector<Peer::UsageEntry> others;
    for (auto const& [key, entry] : state.usage)
        (key.first == ownKey ? message.usage : others).push_back(entry);
    std::shuffle(others.begin(), others.end(), random.engine());
    for (std::size_t i = 0; i < others.size() && message.usage.size() < limits.usagePerMessage; ++i)
        message.usage.push_back(others[i]);
}

static void addMarks(Peer::ExchangeMessage& message, GossipState const& state, GossipLimits const& limits)
{
    for (auto const& [key, expiry] : state.leavingMarks) {
        if (message.leavingMarks.size() < limits.entriesPerMessage)
            message.leavingMarks.push_back({ key.first, key.second, expiry });
    }
}

static void addQuarantineEntries(Peer::ExchangeMessage& message, GossipState const& state, GossipLimits const& limits)
{
    for (auto const& [fingerprint, expiry] : state.quarantine) {
        if (message.quarantine.size() < limits.entriesPerMessage)
            message.quarantine.push_back({ fingerprint, expiry });
    }
}

/// Adds full rows within the limits.
class RowAdder {
public:
    RowAdder(Peer::ExchangeMessage& message, GossipLimits const& limits, std::size_t bytes)
        : m_message(message)
        , m_limits(limits)
        , m_bytes(bytes)
    {
    }

    void add(NodeRow const& row)
    {
        auto entry = toEntry(row);
        auto const bytes = encodedRowBytes(entry);
        if (m_message.rows.size() >= m_limits.rowsPerMessage || bytes > m_bytes || !m_added.insert(&row).second)
            return;
        m_bytes -= bytes;
        m_message.rows.push_back(std::move(entry));
    }

    void addWanted(NodeTable const& nodes, std::vector<std::uint64_t> const& keys)
    {
        for (auto const key : keys) {
            auto const id = nodes.idsByKey.find(key);
            if (id != nodes.idsByKey.end())
                add(nodes.rows.at(id->second));
        }
    }

private:
    Peer::ExchangeMessage& m_message;
    GossipLimits const& m_limits;
    std::size_t m_bytes;
    std::set<NodeRow const*> m_added;
};

Peer::ExchangeMessage createExchangeMessage(NodeTable const& nodes, GossipState& state, GossipLimits const& limits, PartnerLocation location, Core::Random& random)
{
    auto message = newMessage(nodes, state);
    message.digestComplete = true;
    for (auto const* row : nodesOf(nodes, nodes.ownDataCentre, NodeFilter::NotDead))
        addHeartbeat(message, *row);
    addRemoteHeartbeats(message, nodes, state, limits, {}, random);
    for (auto const& [name, digest] : dataCentreDigests(nodes))
        message.dataCentres.push_back(digest);
    if (location == PartnerLocation::SameDataCentre)
        addUsage(message, nodes, state, limits, random);
    return message;
}

Peer::ExchangeMessage createUrgentMessage(NodeTable const& nodes, GossipState const& state)
{
    auto message = newMessage(nodes, state);
    for (auto const& key : state.recentMarks) {
        if (auto const mark = state.leavingMarks.find(key); mark != state.leavingMarks.end())
            message.leavingMarks.push_back({ key.first, key.second, mark->second });
    }
    for (auto const& fingerprint : state.recentQuarantine) {
        if (auto const entry = state.quarantine.find(fingerprint); entry != state.quarantine.end())
            message.quarantine.push_back({ fingerprint, entry->second });
    }
    return message;
}

/// Schedules the heartbeat of a remote row for forwarding if the row is new, or if the heartbeat has advanced enough since it
/// was last scheduled.
static void scheduleForward(NodeTable const& nodes, GossipState& state, GossipLimits const& limits, std::string const& id)
{
    auto const& row = nodes.rows.at(id);
    if (row.dataCentre == nodes.ownDataCentre)
        return;
    auto const [forward, added] = state.forwards.try_emplace(rowKeyOf(row));
    if (added || row.heartbeat >= forward->second.heartbeat + limits.minimumForwardedProgress)
        forward->second = { row.heartbeat, limits.forwardsPerRemoteHeartbeat };
}

static void mergeEntry(NodeTable& nodes, GossipState& state, GossipLimits const& limits, Peer::NodeEntry const& entry, MergeResult& result, Core::MonotonicTime now)
{
    auto const row = toRow(entry);
    if (!row || !mergeRow(nodes, *row, now))
        return;
    result.newRows.push_back(row->id);
    scheduleForward(nodes, state, limits, row->id);
}

MergeResult mergeMessage(NodeTable& nodes, GossipState& state, GossipLimits const& limits, Peer::ExchangeMessage const& message, Core::MonotonicTime now, std::int64_t wallMilliseconds)
{
    MergeResult result;
    for (auto const& entry : message.rows)
        mergeEntry(nodes, state, limits, entry, result, now);

    auto const& sender = message.sender;
    auto const* const known = nodes.find(sender.id);
    if (known && known->incarnation == sender.incarnation) {
        // The sender's entry has no endpoints, so only the attributes that change are read from it.
        auto update = *known;
        update.heartbeat = sender.heartbeat;
        update.configurationGeneration = sender.configurationGeneration;
        update.state = sender.leaving ? NodeState::Leaving : NodeState::Live;
        mergeRow(nodes, update, now);
        scheduleForward(nodes, state, limits, sender.id);
    }

    auto difference = mergeDigest(nodes, message.heartbeats, message.leavingNodes, now);
    for (auto const& id : difference.advancedIds)
        scheduleForward(nodes, state, limits, id);
    if (!known && !message.digestComplete && !sender.id.empty() && sender.id != nodes.ownId && !nodes.find(sender.id))
        difference.unknownKeys.push_back(rowKey(sender.id, sender.incarnation));
    std::sort(difference.unknownKeys.begin(), difference.unknownKeys.end());
    difference.unknownKeys.erase(std::unique(difference.unknownKeys.begin(), difference.unknownKeys.end()), difference.unknownKeys.end());
    result.unknownKeys = std::move(difference.unknownKeys);

    // A data centre that cannot reach the platform learns of leaving servers from nodes of other data centres.
    for (auto const& mark : message.leavingMarks) {
        if (addLeavingMark(state, limits, mark, wallMilliseconds))
            result.newMarks.emplace_back(mark.serverId, mark.incarnation);
    }
    if (sender.dataCentre == nodes.ownDataCentre) {
        auto const ownKey = rowKeyOf(nodes.own());
        for (auto const& entry : message.usage) {
            if (entry.nodeKey == ownKey || !nodes.idsByKey.contains(entry.nodeKey))
                continue;
            auto const [stored, added] = state.usage.try_emplace({ entry.nodeKey, entry.teamHash }, entry);
            if (entry.heartbeat > stored->second.heartbeat)
                stored->second = entry;
        }
    }
    for (auto const& entry : message.quarantine)
        result.newQuarantine |= addQuarantine(state, limits, entry, wallMilliseconds);
    return result;
}

/// Adds the rows of this node's data centre that the sender lacks and the heartbeats that are older there.
static void addLocalDigestReply(Peer::ExchangeMessage& reply, NodeTable const& nodes, Peer::ExchangeMessage const& received, KnownHeartbeats const& known, RowAdder& rows)
{
    std::set<std::uint64_t> const knownLeaving(received.leavingNodes.begin(), received.leavingNodes.end());
    for (auto const* row : nodesOf(nodes, nodes.ownDataCentre, NodeFilter::NotDead)) {
        auto const key = rowKeyOf(*row);
        auto const entry = known.find(key);
        if (entry == known.end())
            rows.add(*row);
        else if (row->heartbeat > entry->second)
            reply.heartbeats.push_back(packedHeartbeatOf(*row));
        if (row->state == NodeState::Leaving && !knownLeaving.contains(key))
            reply.leavingNodes.push_back(key);
    }
}

/// Adds all heartbeats of one data centre whose rows differ, so that the sender can request the rows that it lacks.
static void addDataCentreDigestReply(Peer::ExchangeMessage& reply, NodeTable const& nodes, Peer::ExchangeMessage const& received, Core::Random& random)
{
    std::vector<std::string_view> differing;
    for (auto const& [name, digest] : dataCentreDigests(nodes)) {
        auto const& senderDigests = received.dataCentres;
        if (name != received.sender.dataCentre && std::find(senderDigests.begin(), senderDigests.end(), digest) == senderDigests.end())
            differing.push_back(name);
    }
    if (differing.empty())
        return;
    for (auto const* row : nodesOf(nodes, differing[random.below(differing.size())], NodeFilter::NotDead))
        addHeartbeat(reply, *row);
}

Peer::ExchangeMessage createReplyMessage(NodeTable const& nodes, GossipState& state, GossipLimits const& limits, Peer::ExchangeMessage const& received, MergeResult const& result, std::size_t maximumRowBytes, Core::Random& random)
{
    auto reply = newMessage(nodes, state);
    RowAdder rows(reply, limits, maximumRowBytes);
    rows.addWanted(nodes, received.wantedRows);
    reply.wantedRows = result.unknownKeys;

    bool const sameDataCentre = received.sender.dataCentre == nodes.ownDataCentre;
    if (received.digestComplete) {
        KnownHeartbeats known;
        for (auto const word : received.heartbeats)
            known[unpackRowKey(word)] = unpackHeartbeat(word);
        if (sameDataCentre) {
            addLocalDigestReply(reply, nodes, received, known, rows);
            addUsage(reply, nodes, state, limits, random);
        } else {
            for (auto const* row : nodesOf(nodes, nodes.ownDataCentre, NodeFilter::NotDead))
                addHeartbeat(reply, *row);
        }
        addDataCentreDigestReply(reply, nodes, received, random);
        addRemoteHeartbeats(reply, nodes, state, limits, known, random);
    }
    if (sameDataCentre && received.marksHash != reply.marksHash)
        addMarks(reply, state, limits);
    if (received.quarantineHash != reply.quarantineHash)
        addQuarantineEntries(reply, state, limits);
    return reply;
}

std::optional<Peer::ExchangeMessage> createFollowUpMessage(NodeTable const& nodes, GossipState const& state, GossipLimits const& limits, Peer::ExchangeMessage const& reply, MergeResult const& result, std::size_t maximumRowBytes)
{
    auto message = newMessage(nodes, state);
    RowAdder rows(message, limits, maximumRowBytes);
    rows.addWanted(nodes, reply.wantedRows);
    message.wantedRows = result.unknownKeys;
    if (reply.sender.dataCentre == nodes.ownDataCentre && reply.marksHash != message.marksHash)
        addMarks(message, state, limits);
    if (reply.quarantineHash != message.quarantineHash)
        addQuarantineEntries(message, state, limits);
    if (message.rows.empty() && message.wantedRows.empty() && message.leavingMarks.empty() && message.quarantine.empty())
        return std::nullopt;
    return message;
}

}
