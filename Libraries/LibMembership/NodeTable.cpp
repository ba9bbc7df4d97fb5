#include <LibMembership/NodeTable.h>

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace Membership {

static constexpr unsigned heartbeatBits = 28;
static constexpr std::uint64_t heartbeatMask = (1ULL << heartbeatBits) - 1;
/// Ten times the design size; bounds the memory that a faulty peer can use.
static constexpr std::size_t maximumRows = 4096;
static constexpr std::size_t formerEndpointsPerDataCentre = 8;
static constexpr std::size_t relaysPerDataCentre = 2;

NodeRow const* NodeTable::find(std::string_view id) const
{
    auto const entry = rows.find(id);
    return entry == rows.end() ? nullptr : &entry->second;
}

NodeRow const& NodeTable::own() const
{
    return rows.at(ownId);
}

std::optional<Core::Endpoint> peerEndpointOf(NodeTable const& table, std::string_view id, Core::Error& error)
{
    auto const* row = table.find(id);
    if (!row)
        return Core::fail(error, Core::ErrorKind::PeerUnreachable, "node " + std::string(id) + " is not in the node table");
    return row->peerEndpoint;
}

std::uint64_t rowKey(std::string_view id, std::uint64_t incarnation)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), incarnation) >> heartbeatBits;
}

std::uint64_t packHeartbeat(std::uint64_t key, std::uint64_t heartbeat)
{
    return key << heartbeatBits | std::min(heartbeat, heartbeatMask);
}

std::uint64_t unpackRowKey(std::uint64_t word)
{
    return word >> heartbeatBits;
}

std::uint64_t unpackHeartbeat(std::uint64_t word)
{
    return word & heartbeatMask;
}

static void removeKey(NodeTable& table, NodeRow const& row)
{
    auto const entry = table.idsByKey.find(rowKey(row.id, row.incarnation));
    if (entry != table.idsByKey.end() && entry->second == row.id)
        table.idsByKey.erase(entry);
}

static bool advanceHeartbeat(NodeRow& row, std::uint64_t heartbeat, Core::MonotonicTime now)
{
    if (heartbeat <= row.heartbeat)
        return false;
    row.heartbeat = heartbeat;
    row.lastHeartbeatAt = now;
    row.liveness = Liveness::Live;
    return true;
}

bool mergeRow(NodeTable& table, NodeRow const& row, Core::MonotonicTime now)
{
    if (row.id.empty() || row.id == table.ownId)
        return false;
    auto const entry = table.rows.find(row.id);
    if (entry == table.rows.end() && table.rows.size() >= maximumRows)
        return false;
    if (entry != table.rows.end()) {
        auto& known = entry->second;
        if (row.incarnation < known.incarnation)
            return false;
        if (row.incarnation == known.incarnation) {
            advanceHeartbeat(known, row.heartbeat, now);
            known.configurationGeneration = std::max(known.configurationGeneration, row.configurationGeneration);
            if (row.state == NodeState::Leaving)
                known.state = NodeState::Leaving;
            return false;
        }
        removeKey(table, known);
    }
    auto& added = table.rows[row.id] = row;
    added.liveness = Liveness::Live;
    added.lastHeartbeatAt = now;
    table.idsByKey.emplace(rowKey(row.id, row.incarnation), row.id);
    return true;
}

DigestDifference mergeDigest(NodeTable& table, std::vector<std::uint64_t> const& heartbeats, std::vector<std::uint64_t> const& leavingKeys, Core::MonotonicTime now)
{
    DigestDifference difference;
    for (auto const word : heartbeats) {
        auto const id = table.idsByKey.find(unpackRowKey(word));
        if (id == table.idsByKey.end())
            difference.unknownKeys.push_back(unpackRowKey(word));
        else if (id->second != table.ownId && advanceHeartbeat(table.rows.at(id->second), unpackHeartbeat(word), now))
            difference.advancedIds.push_back(id->second);
    }
    for (auto const key : leavingKeys) {
        auto const id = table.idsByKey.find(key);
        if (id != table.idsByKey.end() && id->second != table.ownId)
            table.rows.at(id->second).state = NodeState::Leaving;
    }
    return difference;
}

static void recordFormerEndpoint(NodeTable& table, NodeRow const& row)
{
    auto& endpoints = table.formerEndpoints[row.dataCentre];
    std::erase(endpoints, row.peerEndpoint);
    if (endpoints.size() >= formerEndpointsPerDataCentre)
        endpoints.erase(endpoints.begin());
    endpoints.push_back(row.peerEndpoint);
}

std::vector<LivenessChange> expireNodes(NodeTable& table, ExpirySettings const& settings, Core::MonotonicTime now)
{
    std::vector<LivenessChange> changes;
    for (auto entry = table.rows.begin(); entry != table.rows.end();) {
        auto& row = entry->second;
        auto const age = now - row.lastHeartbeatAt;
        // Tested first because most rows are recent.
        if ((age < settings.suspectAfter && row.liveness != Liveness::Dead) || row.id == table.ownId) {
            ++entry;
            continue;
        }
        auto const factor = row.dataCentre == table.ownDataCentre ? 1 : settings.remoteFactor;
        if (row.liveness == Liveness::Dead && now - row.markedDeadAt >= settings.dropAfterDeath) {
            changes.push_back({ row.id, Liveness::Dead, true });
            recordFormerEndpoint(table, row);
            removeKey(table, row);
            entry = table.rows.erase(entry);
            continue;
        }
        if (row.liveness != Liveness::Dead && age >= settings.deadAfter * factor) {
            row.liveness = Liveness::Dead;
            row.markedDeadAt = now;
            changes.push_back({ row.id, Liveness::Dead, false });
        } else if (row.liveness == Liveness::Live && age >= settings.suspectAfter * factor) {
            row.liveness = Liveness::Suspected;
            changes.push_back({ row.id, Liveness::Suspected, false });
        }
        ++entry;
    }
    return changes;
}

void compensateForPause(NodeTable& table, Core::Duration pause)
{
    for (auto& [id, row] : table.rows)
        row.lastHeartbeatAt += pause;
}

std::vector<NodeRow const*> rendezvousRank(std::string_view key, std::vector<NodeRow const*> nodes)
{
    auto const seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, NodeRow const*>> scored;
    scored.reserve(nodes.size());
    for (auto const* node : nodes)
        scored.emplace_back(XXH3_64bits_withSeed(node->id.data(), node->id.size(), seed), node);
    std::sort(scored.begin(), scored.end(), [](auto const& left, auto const& right) {
        return left.first != right.first ? left.first > right.first : left.second->id < right.second->id;
    });
    for (std::size_t i = 0; i < scored.size(); ++i)
        nodes[i] = scored[i].second;
    return nodes;
}

std::vector<NodeRow const*> nodesOf(NodeTable const& table, std::string_view dataCentre, NodeFilter filter)
{
    std::vector<NodeRow const*> result;
    for (auto const& [id, row] : table.rows) {
        if (row.dataCentre != dataCentre || row.liveness == Liveness::Dead)
            continue;
        if (filter == NodeFilter::NotDead || (row.liveness == Liveness::Live && row.state == NodeState::Live))
            result.push_back(&row);
    }
    return result;
}

std::vector<NodeRow const*> relaysOf(NodeTable const& table, std::string_view dataCentre)
{
    auto ranked = rendezvousRank(dataCentre, nodesOf(table, dataCentre, NodeFilter::LiveNotLeaving));
    ranked.resize(std::min(ranked.size(), relaysPerDataCentre));
    return ranked;
}

bool isRelay(NodeTable const& table)
{
    auto const relays = relaysOf(table, table.ownDataCentre);
    return std::any_of(relays.begin(), relays.end(), [&](auto const* row) { return row->id == table.ownId; });
}

template <typename T>
static T const& chooseRandom(std::vector<T> const& choices, Core::Random& random)
{
    return choices[random.below(choices.size())];
}

/// Adds a random dead node, former node or seed, if there is one.
static void addFallbackPartner(NodeTable const& table, std::string const& dataCentre, std::vector<Core::Endpoint> const& seeds, std::vector<Core::Endpoint>& partners, Core::Random& random)
{
    std::vector<Core::Endpoint> choices;
    for (auto const& [id, row] : table.rows) {
        if (row.dataCentre == dataCentre && row.liveness == Liveness::Dead)
            choices.push_back(row.peerEndpoint);
    }
    if (auto const former = table.formerEndpoints.find(dataCentre); former != table.formerEndpoints.end())
        choices.insert(choices.end(), former->second.begin(), former->second.end());
    for (auto const& seed : seeds) {
        if (seed != table.own().peerEndpoint)
            choices.push_back(seed);
    }
    if (!choices.empty())
        partners.push_back(chooseRandom(choices, random));
}

static void addRemotePartner(NodeTable const& table, std::vector<Core::Endpoint> const& seeds, std::vector<Core::Endpoint>& partners, Core::Random& random)
{
    std::set<std::string> names;
    for (auto const& [id, row] : table.rows)
        names.insert(row.dataCentre);
    for (auto const& [name, endpoints] : table.formerEndpoints)
        names.insert(name);
    names.erase(table.ownDataCentre);
    if (names.empty())
        return addFallbackPartner(table, {}, seeds, partners, random);
    auto const& dataCentre = *std::next(names.begin(), static_cast<std::ptrdiff_t>(random.below(names.size())));
    auto const relays = relaysOf(table, dataCentre);
    if (!relays.empty())
        partners.push_back(chooseRandom(relays, random)->peerEndpoint);
    else
        addFallbackPartner(table, dataCentre, seeds, partners, random);
}

ExchangePartners chooseExchangePartners(NodeTable const& table, std::vector<Core::Endpoint> const& seeds, ExchangeRound round, Core::Random& random)
{
    ExchangePartners partners;
    auto nodes = nodesOf(table, table.ownDataCentre, NodeFilter::NotDead);
    std::erase_if(nodes, [&](auto const* row) { return row->id == table.ownId; });
    if (nodes.empty()) {
        addFallbackPartner(table, table.ownDataCentre, seeds, partners.local, random);
    } else {
        partners.local.push_back(chooseRandom(nodes, random)->peerEndpoint);
        std::vector<Core::Endpoint> dead;
        for (auto const& [id, row] : table.rows) {
            if (row.dataCentre == table.ownDataCentre && row.liveness == Liveness::Dead)
                dead.push_back(row.peerEndpoint);
        }
        if (!dead.empty() && random.below(10) == 0)
            partners.local.push_back(chooseRandom(dead, random));
        if (random.below(500) == 0)
            addFallbackPartner(table, table.ownDataCentre, seeds, partners.local, random);
    }
    if (round == ExchangeRound::LocalAndRemote && isRelay(table))
        addRemotePartner(table, seeds, partners.remote, random);
    return partners;
}

}
