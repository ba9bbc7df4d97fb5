#include <LibForward/PeerTable.h>

#include <LibLimits/TeamLimitTable.h>
#include <algorithm>
#include <tuple>

namespace Forward {

using namespace std::chrono_literals;

// Four reports may be lost before a node counts as silent.
static constexpr double liveIntervals = 4.8;
// Longer than the partitions behind which a node still serves its clients.
static constexpr Core::Duration peerRetention = 12s;
static constexpr Core::Duration candidateRetention = 60s;

void addCandidate(PeerTable& table, Core::Endpoint endpoint, Core::MonotonicTime now)
{
    table.candidates[std::move(endpoint)] = now;
}

bool mergeReport(PeerTable& table, NodeReport report, std::int64_t ownUnixMilliseconds, Core::MonotonicTime now)
{
    // Incarnations are start times, which identify a late datagram of an earlier incarnation. If the sender's clock was set back
    // before a restart, only the silence of the earlier incarnation shows that the lower number is the new one.
    static constexpr Core::Duration maximumDatagramDelay = 2s;
    auto const found = table.rows.find(report.node);
    if (found != table.rows.end() && report.incarnation < found->second.report.incarnation && now - found->second.lastReportAt < maximumDatagramDelay)
        return false;
    Core::Error ignored;
    if (auto endpoint = Core::parseEndpoint(report.endpoint, ignored))
        addCandidate(table, std::move(*endpoint), now);
    for (auto const& peer : report.peers) {
        if (auto endpoint = Core::parseEndpoint(peer, ignored))
            table.candidates.try_emplace(std::move(*endpoint), now);
    }
    std::chrono::milliseconds const clockOffset(report.sentAtUnixMilliseconds - ownUnixMilliseconds);
    if (report.isBrief) {
        // Without a full report of this incarnation, the omitted fields are unknown.
        if (found == table.rows.end() || found->second.report.incarnation != report.incarnation)
            return false;
        auto& known = found->second.report;
        report.usage = std::move(known.usage);
        report.peers = std::move(known.peers);
        report.quarantined = std::move(known.quarantined);
        report.demands.merge(known.demands);
        report.isBrief = false;
    }
    auto node = report.node;
    if (found == table.rows.end())
        table.lastNewPeerAt = now;
    table.rows[std::move(node)] = { std::move(report), now, clockOffset };
    return true;
}

std::map<std::string, double> newAdmissions(PeerTable const& table, NodeReport const& report)
{
    std::map<std::string, double> admissions;
    auto const found = table.rows.find(report.node);
    // Without an earlier report it is not known which of the admissions are recent.
    if (found == table.rows.end())
        return admissions;
    bool const isSameIncarnation = found->second.report.incarnation == report.incarnation;
    for (auto const& [team, demand] : report.demands) {
        auto const before = found->second.report.demands.find(team);
        double const known = isSameIncarnation && before != found->second.report.demands.end() ? before->second.admitted : 0;
        if (demand.admitted > known)
            admissions[team] = demand.admitted - known;
    }
    return admissions;
}

void expirePeers(PeerTable& table, Core::MonotonicTime now)
{
    std::erase_if(table.rows, [&](auto const& item) {
        return now - item.second.lastReportAt > (item.second.report.isLeaving ? Core::Duration(2s) : peerRetention);
    });
    std::erase_if(table.candidates, [&](auto const& item) { return now - item.second > candidateRetention; });
}

static bool hasReportedWithin(PeerTable::Row const& row, double intervals, Core::MonotonicTime now)
{
    return std::chrono::duration<double>(now - row.lastReportAt) <= intervals * std::chrono::duration<double>(row.report.interval);
}

static bool isLive(PeerTable::Row const& row, Core::MonotonicTime now)
{
    return hasReportedWithin(row, liveIntervals, now);
}

static std::chrono::milliseconds intervalFor(std::size_t peers, std::size_t peersAtMinimumInterval)
{
    static constexpr std::chrono::milliseconds minimum { 250 };
    return minimum * std::max<std::size_t>(1, (peers + peersAtMinimumInterval - 1) / peersAtMinimumInterval);
}

std::chrono::milliseconds reportInterval(std::size_t peers)
{
    // About 320 brief reports a second arrive at a node.
    static constexpr std::size_t peersAtMinimumInterval = 80;
    return intervalFor(peers, peersAtMinimumInterval);
}

std::chrono::milliseconds fullReportInterval(std::size_t peers)
{
    // About 64 full reports a second arrive at a node.
    static constexpr std::size_t peersAtMinimumInterval = 16;
    return std::max(intervalFor(peers, peersAtMinimumInterval), reportInterval(peers));
}

std::set<Core::Endpoint> fullReportTargets(PeerTable const& table, FullReportTimes const& sentAt, std::size_t reportBytes, Core::MonotonicTime now)
{
    // At 10 Mbit/s, sending a round takes a tenth of the interval between two rounds.
    static constexpr std::size_t minimumRoundBytes = 32 * 1024;
    auto const interval = fullReportInterval(table.rows.size());
    auto const rounds = static_cast<std::size_t>(interval / reportInterval(table.rows.size()));
    auto const limit = std::max((table.candidates.size() + rounds - 1) / rounds, minimumRoundBytes / std::max<std::size_t>(reportBytes, 1));
    std::vector<std::pair<Core::MonotonicTime, Core::Endpoint>> due;
    for (auto const& [endpoint, mentionedAt] : table.candidates) {
        // Rounds may start slightly early.
        static constexpr Core::Duration tolerance = 50ms;
        auto const sent = sentAt.find(endpoint);
        auto const last = sent == sentAt.end() ? Core::MonotonicTime {} : sent->second;
        if (sent == sentAt.end() || now - last + tolerance >= interval)
            due.emplace_back(last, endpoint);
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), limit));
    std::set<Core::Endpoint> targets;
    for (auto& [last, endpoint] : due)
        targets.insert(std::move(endpoint));
    return targets;
}

bool shouldWatchStore(PeerTable const& table, std::string const& ownId, std::string const& ownDataCentre, Core::MonotonicTime now)
{
    // Two may fail or become unreachable at the same time.
    static constexpr std::size_t watchersPerDataCentre = 3;
    std::size_t precedingPeers = 0;
    bool hasLiveWatcher = false;
    auto const own = hashId(ownId);
    for (auto const& [node, row] : table.rows) {
        if (!isLive(row, now) || row.report.isLeaving)
            continue;
        hasLiveWatcher = hasLiveWatcher || row.report.watchesStore;
        if (row.report.dataCentre == ownDataCentre && hashId(node) < own)
            ++precedingPeers;
    }
    return precedingPeers < watchersPerDataCentre || !hasLiveWatcher;
}

PeerTable::Row const* choosePeerToFetchFrom(PeerTable const& table, PeerDataKind kind, std::uint64_t known, std::string const& ownDataCentre, Core::MonotonicTime now)
{
    auto const versionOf = [&](PeerTable::Row const& row) {
        return kind == PeerDataKind::Configuration ? row.report.configurationVersion : row.report.serversRevision;
    };
    auto const rank = [&](PeerTable::Row const& row) {
        return std::tuple(row.report.watchesStore, row.report.dataCentre == ownDataCentre, versionOf(row));
    };
    PeerTable::Row const* best = nullptr;
    for (auto const& [node, row] : table.rows) {
        if (isLive(row, now) && versionOf(row) > known && (!best || rank(row) > rank(*best)))
            best = &row;
    }
    return best;
}

std::size_t countLivePeers(PeerTable const& table, Core::MonotonicTime now)
{
    return static_cast<std::size_t>(std::count_if(table.rows.begin(), table.rows.end(), [&](auto const& item) { return isLive(item.second, now); }));
}

static double demandIn(NodeReport const& report, std::string const& team)
{
    auto const found = report.demands.find(team);
    return found == report.demands.end() ? 0 : found->second.perSecond;
}

double demandBasedShare(PeerTable const& table, std::string const& team)
{
    Limits::DemandSnapshot snapshot;
    snapshot.ownDemand = demandIn(table.own, team);
    snapshot.nodesInDataCentre = static_cast<std::uint32_t>(table.rows.size() + 1);
    snapshot.nodesInDeployment = snapshot.nodesInDataCentre;
    for (auto const& [node, row] : table.rows)
        snapshot.otherDemands.push_back(demandIn(row.report, team));
    return Limits::nodeLimitFraction(snapshot);
}

bool isPartitionSuspected(PeerTable const& table, std::string const& dataCentre, Core::MonotonicTime now)
{
    // Three consecutive reports are missing.
    static constexpr double silentIntervals = 3.4;
    bool isKnown = false;
    for (auto const& [node, row] : table.rows) {
        if (row.report.dataCentre != dataCentre || row.report.isLeaving)
            continue;
        if (hasReportedWithin(row, silentIntervals, now))
            return false;
        isKnown = true;
    }
    return isKnown;
}

std::uint32_t peerLoad(PeerTable const& table, std::uint64_t server, Core::MonotonicTime now)
{
    std::uint32_t load = 0;
    for (auto const& [node, row] : table.rows) {
        auto const found = row.report.loads.find(server);
        if (found != row.report.loads.end() && isLive(row, now))
            load += found->second;
    }
    return load;
}

std::chrono::milliseconds medianClockOffset(PeerTable const& table, Core::MonotonicTime now)
{
    std::vector<std::chrono::milliseconds> clockOffsets { 0ms };
    for (auto const& [node, row] : table.rows) {
        if (isLive(row, now))
            clockOffsets.push_back(row.clockOffset);
    }
    auto const middle = clockOffsets.begin() + static_cast<std::ptrdiff_t>(clockOffsets.size() / 2);
    std::nth_element(clockOffsets.begin(), middle, clockOffsets.end());
    return *middle;
}

}
