#include <LibForward/PeerTable.h>

#include <LibLimits/TeamLimitTable.h>
#include <algorithm>
#include <tuple>

namespace Forward {

using namespace std::chrono_literals;

// Four reports may be lost before a node counts as silent.
static constexpr double liveIntervals = 4.8;
// Three consecutive reports are missing.
static constexpr double silentIntervals = 3.4;
// Leaves this node something if all others fall silent.
static constexpr double maximumSilentShare = 0.95;
// Longer than the partitions behind which a node still serves its clients.
static constexpr Core::Duration peerRetention = 12s;
static constexpr Core::Duration candidateRetention = 60s;
// About the time in which several other peers can be asked.
static constexpr Core::Duration failedFetchRetention = 3s;

void addCandidate(PeerTable& table, Core::Endpoint endpoint, Core::MonotonicTime now)
{
    table.candidates[std::move(endpoint)] = now;
}

// Incarnations are start times, which identify a late datagram of an earlier incarnation. If the sender's clock was set back
// before a restart, only the silence of the earlier incarnation shows that the lower number is the new one.
static bool isLateDatagram(std::map<std::string, PeerTable::Row> const& rows, NodeReport const& report, Core::MonotonicTime now)
{
    static constexpr Core::Duration maximumDatagramDelay = 2s;
    auto const found = rows.find(report.node);
    return found != rows.end() && report.incarnation < found->second.report.incarnation && now - found->second.lastReportAt < maximumDatagramDelay;
}

// Restores what a brief report omits from the sender's last full one. Returns false if that is unknown.
static bool completeBriefReport(std::map<std::string, PeerTable::Row>& rows, NodeReport& report)
{
    auto const found = rows.find(report.node);
    if (found == rows.end() || found->second.report.incarnation != report.incarnation)
        return false;
    auto& known = found->second.report;
    report.usage = std::move(known.usage);
    report.peers = std::move(known.peers);
    report.quarantined = std::move(known.quarantined);
    report.contacts = std::move(known.contacts);
    report.demands.merge(known.demands);
    report.isBrief = false;
    return true;
}

static void mergeContacts(PeerTable& table, std::vector<NodeContact> const& contacts, Core::MonotonicTime now)
{
    // Sums name their contacts every few seconds, and when they change.
    static constexpr std::chrono::milliseconds contactInterval { 1500 };
    for (auto const& contact : contacts) {
        NodeReport report;
        report.node = contact.node;
        report.dataCentre = contact.dataCentre;
        report.endpoint = contact.endpoint;
        report.processorShare = contact.processorShare;
        report.configurationVersion = contact.configurationVersion;
        report.serversRevision = contact.serversRevision;
        report.watchesStore = contact.watchesStore;
        report.interval = contactInterval;
        table.contacts[contact.node] = { std::move(report), now, {} };
    }
}

template <typename Table>
static auto& rowsOfScope(Table& table, ReportScope scope)
{
    if (scope == ReportScope::DataCentre)
        return table.dataCentreRows;
    return scope == ReportScope::Deployment ? table.deploymentRows : table.rows;
}

// Whether the sender started so recently that its admissions since then are all recent.
static bool hasStartedRecently(NodeReport const& report)
{
    // The shortest window over which team limits are enforced.
    static constexpr std::chrono::milliseconds window { 8000 };
    auto const age = report.sentAtUnixMilliseconds - static_cast<std::int64_t>(report.incarnation);
    return age >= 0 && age < window.count();
}

// Returns what a report contains beyond the previous one of the same sender.
static std::map<std::string, double> admissionsSince(std::map<std::string, PeerTable::Row> const& rows, NodeReport const& report)
{
    std::map<std::string, double> admissions;
    auto const found = rows.find(report.node);
    bool const isSameIncarnation = found != rows.end() && found->second.report.incarnation == report.incarnation;
    // It is not merged, so that the next report repeats it.
    if (report.isBrief && !isSameIncarnation)
        return admissions;
    // Without an earlier report it is not known which of the admissions are recent.
    if (found == rows.end() && !(report.scope == ReportScope::Node && hasStartedRecently(report)))
        return admissions;
    for (auto const& [team, demand] : report.demands) {
        double known = 0;
        if (isSameIncarnation) {
            auto const before = found->second.report.demands.find(team);
            known = before == found->second.report.demands.end() ? 0 : before->second.admitted;
        }
        if (demand.admitted > known)
            admissions[team] = demand.admitted - known;
    }
    return admissions;
}

static double ownAdmissionsSinceLastSums(PeerTable const& table, std::string const& team)
{
    auto const own = table.own.demands.find(team);
    auto const contained = table.ownAdmissionsInSums.find(team);
    return (own == table.own.demands.end() ? 0 : own->second.admitted) - (contained == table.ownAdmissionsInSums.end() ? 0 : contained->second);
}

// Each node's admissions are counted from one of the reports that contain them.
static bool isAdmissionSource(PeerTable const& table, NodeReport const& report)
{
    if (report.scope == ReportScope::Deployment)
        return report.node == table.aggregator;
    if (!table.aggregator.empty())
        return false;
    if (report.scope == ReportScope::Node)
        return !table.isAggregated || report.dataCentre == table.own.dataCentre;
    auto const source = table.dataCentreSources.find(report.dataCentre);
    return source != table.dataCentreSources.end() && source->second == report.node;
}

static double amountOf(std::map<std::string, double> const& amounts, std::string const& team)
{
    auto const found = amounts.find(team);
    return found == amounts.end() ? 0 : found->second;
}

// Adds what sums contain that this node has counted neither from earlier ones nor from reports of single nodes: the sums of nodes that
// started together contain all that was admitted since then, also by nodes that this one has not heard.
static void addUncounted(std::map<std::string, double>& admissions, PeerTable const& table, NodeReport const& sums)
{
    auto const dataCentre = table.admissionsByDataCentre.find(sums.dataCentre);
    for (auto const& [team, demand] : sums.demands) {
        double counted = 0;
        if (sums.scope == ReportScope::Deployment) {
            auto const own = table.own.demands.find(team);
            counted = amountOf(table.deploymentAdmissions, team) + (own == table.own.demands.end() ? 0 : own->second.admitted);
        } else if (dataCentre != table.admissionsByDataCentre.end()) {
            counted = amountOf(dataCentre->second, team);
        }
        if (demand.admitted - counted > amountOf(admissions, team))
            admissions[team] = demand.admitted - counted;
    }
}

std::map<std::string, double> newAdmissions(PeerTable const& table, NodeReport const& report)
{
    if (!isAdmissionSource(table, report))
        return {};
    auto admissions = admissionsSince(rowsOfScope(table, report.scope), report);
    if (report.scope == ReportScope::Deployment && table.deploymentRows.contains(report.node)) {
        for (auto const& [team, demand] : table.own.demands) {
            auto const own = ownAdmissionsSinceLastSums(table, team);
            if (own != 0)
                admissions[team] -= own;
        }
    }
    if (report.scope != ReportScope::Node && hasStartedRecently(report))
        addUncounted(admissions, table, report);
    return admissions;
}

static void accumulateAdmissions(PeerTable& table, NodeReport const& report)
{
    for (auto const& [team, amount] : newAdmissions(table, report)) {
        table.deploymentAdmissions[team] += amount;
        if (report.scope != ReportScope::Deployment)
            table.admissionsByDataCentre[report.dataCentre][team] += amount;
    }
    // The sums of the own data centre contain its nodes, whatever this node itself uses.
    if (report.scope == ReportScope::Node && report.dataCentre == table.own.dataCentre) {
        for (auto const& [team, amount] : admissionsSince(table.rows, report))
            table.dataCentreAdmissions[team] += amount;
    }
    if (report.scope != ReportScope::Deployment || report.node != table.aggregator)
        return;
    for (auto const& [team, demand] : table.own.demands)
        table.ownAdmissionsInSums[team] = demand.admitted;
}

bool mergeReport(PeerTable& table, NodeReport report, std::int64_t ownUnixMilliseconds, Core::MonotonicTime now)
{
    auto& rows = rowsOfScope(table, report.scope);
    if (isLateDatagram(rows, report, now))
        return false;
    Core::Error ignored;
    if (auto endpoint = Core::parseEndpoint(report.endpoint, ignored))
        addCandidate(table, std::move(*endpoint), now);
    for (auto const& peer : report.peers) {
        if (auto endpoint = Core::parseEndpoint(peer, ignored))
            table.candidates.try_emplace(std::move(*endpoint), now);
    }
    accumulateAdmissions(table, report);
    mergeContacts(table, report.contacts, now);
    std::chrono::milliseconds const clockOffset(report.sentAtUnixMilliseconds - ownUnixMilliseconds);
    // Without a full report of this incarnation, the omitted fields are unknown.
    if (report.isBrief && !completeBriefReport(rows, report))
        return false;
    auto& row = rows[report.node];
    if (row.lastReportAt != Core::MonotonicTime {})
        row.meanInterval = row.meanInterval == Core::Duration(0) ? now - row.lastReportAt : (3 * row.meanInterval + (now - row.lastReportAt)) / 4;
    row.report = std::move(report);
    row.lastReportAt = now;
    row.clockOffset = clockOffset;
    row.isSilent = false;
    auto const nodes = countNodes(table);
    if (nodes > table.knownNodes)
        table.lastNewPeerAt = now;
    table.knownNodes = std::max(table.knownNodes, nodes);
    return true;
}

bool isUnheardSinceStart(PeerTable const& table, Core::MonotonicTime now)
{
    if (table.firstExpiryAt && now - *table.firstExpiryAt >= peerRetention)
        return false;
    bool const mayHaveOthers = std::any_of(table.candidates.begin(), table.candidates.end(), [&](auto const& item) { return item.first.toString() != table.own.endpoint; });
    return mayHaveOthers && coveringRows(table).empty();
}

void expirePeers(PeerTable& table, Core::MonotonicTime now)
{
    table.firstExpiryAt = table.firstExpiryAt.value_or(now);
    auto const isExpired = [&](auto const& item) {
        return now - item.second.lastReportAt > (item.second.report.isLeaving ? Core::Duration(2s) : peerRetention);
    };
    for (auto* rows : { &table.rows, &table.dataCentreRows, &table.deploymentRows, &table.contacts })
        std::erase_if(*rows, isExpired);
    std::erase_if(table.candidates, [&](auto const& item) { return now - item.second > candidateRetention; });
    std::erase_if(table.failedFetches, [&](auto const& item) { return now - item.second >= failedFetchRetention; });
    if (!table.deploymentRows.contains(table.aggregator))
        table.aggregator.clear();
    std::erase_if(table.dataCentreSources, [&](auto const& item) { return !table.dataCentreRows.contains(item.second); });
    table.knownNodes = countNodes(table);
}

static bool hasReportedWithin(PeerTable::Row const& row, double intervals, Core::MonotonicTime now)
{
    return std::chrono::duration<double>(now - row.lastReportAt) <= intervals * std::chrono::duration<double>(row.report.interval);
}

bool isLive(PeerTable::Row const& row, Core::MonotonicTime now)
{
    return hasReportedWithin(row, liveIntervals, now);
}

std::vector<PeerTable::Row const*> coveringRows(PeerTable const& table)
{
    auto const sums = table.deploymentRows.find(table.aggregator);
    if (sums != table.deploymentRows.end())
        return { &sums->second };
    return directlyCoveringRows(table);
}

std::vector<PeerTable::Row const*> directlyCoveringRows(PeerTable const& table)
{
    std::vector<PeerTable::Row const*> covering;
    for (auto const& [node, row] : table.rows) {
        bool const isInSums = row.report.dataCentre != table.own.dataCentre && table.dataCentreSources.contains(row.report.dataCentre);
        if (!isInSums)
            covering.push_back(&row);
    }
    for (auto const& [dataCentre, node] : table.dataCentreSources) {
        auto const found = table.dataCentreRows.find(node);
        if (found != table.dataCentreRows.end())
            covering.push_back(&found->second);
    }
    return covering;
}

bool containsOwn(PeerTable::Row const& row)
{
    return row.report.scope == ReportScope::Deployment;
}

std::size_t countNodes(PeerTable const& table)
{
    std::size_t nodes = 1;
    for (auto const* row : coveringRows(table))
        nodes += row->report.nodes - (containsOwn(*row) && row->report.nodes > 0 ? 1 : 0);
    return nodes;
}

bool areDutiesHeldElsewhere(PeerTable const& table, Core::MonotonicTime now)
{
    auto const rows = coveringRows(table);
    return std::any_of(rows.begin(), rows.end(), [&](auto const* row) { return row->report.holdsDuties && isLive(*row, now); });
}

NodeRank nodeRank(NodeReport const& report)
{
    return { -report.processorShare, hashId(report.node) };
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
    // Of three, two may fail or become unreachable at the same time. In a large deployment, the aggregating nodes also learn of changes
    // from those of the other data centres, so that one for each is enough.
    std::size_t const watchersPerDataCentre = table.isAggregated ? 1 : 3;
    bool hasLiveWatcher = false;
    std::set<std::string> preceding;
    for (auto const* rows : { &table.rows, &table.contacts, &table.deploymentRows }) {
        for (auto const& [node, row] : *rows) {
            if (!isLive(row, now) || row.report.isLeaving || node == ownId)
                continue;
            hasLiveWatcher = hasLiveWatcher || row.report.watchesStore;
            if (row.report.dataCentre == ownDataCentre && nodeRank(row.report) < NodeRank { -table.own.processorShare, hashId(ownId) })
                preceding.insert(node);
        }
    }
    return preceding.size() < watchersPerDataCentre || !hasLiveWatcher;
}

static bool hasFetchFailed(PeerTable const& table, std::string const& node, Core::MonotonicTime now)
{
    auto const failure = table.failedFetches.find(node);
    return failure != table.failedFetches.end() && now - failure->second < failedFetchRetention;
}

static bool isFasterWatcherLive(PeerTable const& table, NodeReport const& peer, Core::MonotonicTime now)
{
    for (auto const* rows : { &table.rows, &table.deploymentRows, &table.dataCentreRows, &table.contacts }) {
        for (auto const& [node, row] : *rows) {
            if (row.report.watchesStore && row.report.processorShare > peer.processorShare && !hasFetchFailed(table, node, now) && isLive(row, now))
                return true;
        }
    }
    return false;
}

bool shouldFetchNow(PeerTable const& table, NodeReport const& chosen, bool ownWatchWorks, Core::Duration outdatedFor, Core::MonotonicTime now)
{
    // Nodes that watch the store usually read a change at about the same time.
    static constexpr Core::Duration watchDifference = 250ms;
    return outdatedFor >= watchDifference || !(ownWatchWorks || isFasterWatcherLive(table, chosen, now));
}

void recordFailedFetch(PeerTable& table, std::string const& node, Core::MonotonicTime now)
{
    table.failedFetches[node] = now;
}

PeerDataVersion versionOf(NodeReport const& report, PeerDataKind kind)
{
    return kind == PeerDataKind::Configuration ? PeerDataVersion { 0, report.configurationVersion } : report.serversRevision;
}

PeerTable::Row const* choosePeerToFetchFrom(PeerTable const& table, PeerDataKind kind, PeerDataVersion known, std::string const& ownDataCentre, Core::MonotonicTime now)
{
    auto const rank = [&](PeerTable::Row const& row) {
        return std::tuple(!hasFetchFailed(table, row.report.node, now), row.report.watchesStore, row.report.dataCentre == ownDataCentre, row.report.processorShare, versionOf(row.report, kind));
    };
    PeerTable::Row const* best = nullptr;
    for (auto const* rows : { &table.rows, &table.deploymentRows, &table.dataCentreRows, &table.contacts }) {
        for (auto const& [node, row] : *rows) {
            if (versionOf(row.report, kind) > known && isLive(row, now) && (!best || rank(row) > rank(*best)))
                best = &row;
        }
    }
    return best;
}

std::size_t countLivePeers(PeerTable const& table, Core::MonotonicTime now)
{
    std::size_t nodes = 0;
    for (auto const* row : coveringRows(table)) {
        if (isLive(*row, now))
            nodes += row->report.nodes - (containsOwn(*row) && row->report.nodes > 0 ? 1 : 0);
    }
    return nodes;
}

std::chrono::milliseconds spreadInterval(PeerTable const& table)
{
    return reportInterval(table.isAggregated ? 0 : table.rows.size());
}

static bool hearsMostOthers(PeerTable const& table, Core::MonotonicTime now)
{
    static constexpr double sufficientFraction = 0.6;
    std::size_t known = 0;
    std::size_t reporting = 0;
    for (auto const* row : coveringRows(table)) {
        known += row->report.nodes;
        // Sums of the deployment are sent less often than they state.
        double const intervals = containsOwn(*row) ? liveIntervals : silentIntervals;
        reporting += hasReportedWithin(*row, intervals, now) ? row->report.nodes : 0;
    }
    return static_cast<double>(reporting) >= sufficientFraction * static_cast<double>(known);
}

std::chrono::milliseconds reportDelay(PeerTable const& table, Core::MonotonicTime now)
{
    bool const isInformed = hearsMostOthers(table, now) && !isUnheardSinceStart(table, now);
    return isInformed ? spreadInterval(table) : std::chrono::milliseconds::max();
}

static double demandIn(NodeReport const& report, std::string const& team)
{
    auto const found = report.demands.find(team);
    return found == report.demands.end() ? 0 : found->second.perSecond;
}

static double reportedDemand(PeerTable const& table, PeerTable::Row const& row, std::string const& team)
{
    return std::max(demandIn(row.report, team) - (containsOwn(row) ? demandIn(table.own, team) : 0), 0.0);
}

static double totalDemand(PeerTable const& table, std::string const& team)
{
    double total = demandIn(table.own, team);
    for (auto const* row : coveringRows(table))
        total += reportedDemand(table, *row, team);
    return total;
}

double otherDemand(PeerTable const& table, std::string const& team)
{
    double demand = 0;
    for (auto const* row : coveringRows(table))
        demand += row->isSilent ? 0 : reportedDemand(table, *row, team);
    return demand;
}

double silentShare(PeerTable const& table, std::string const& team)
{
    double share = 0;
    for (auto const* row : coveringRows(table)) {
        auto const found = row->demandShares.find(team);
        if (row->isSilent && found != row->demandShares.end())
            share += found->second;
    }
    return std::min(share, maximumSilentShare);
}

void recordDemandShares(PeerTable& table, Core::MonotonicTime now)
{
    bool const isInformed = hearsMostOthers(table, now);
    std::map<std::string, double> totals;
    for (auto const& [team, demand] : table.own.demands)
        totals[team] = totalDemand(table, team);
    std::set<PeerTable::Row const*> covering;
    for (auto const* row : coveringRows(table))
        covering.insert(row);
    auto const record = [&](PeerTable::Row& row) {
        row.isSilent = !hasReportedWithin(row, containsOwn(row) ? liveIntervals : silentIntervals, now);
        for (auto const& [team, total] : totals) {
            if (!row.isSilent)
                row.demandShares[team] = total > 0 ? reportedDemand(table, row, team) / total : 0;
        }
    };
    for (auto* rows : { &table.rows, &table.dataCentreRows, &table.deploymentRows }) {
        for (auto& [node, row] : *rows) {
            if (covering.contains(&row))
                record(row);
        }
    }
    table.isInformed = isInformed;
    if (!isInformed)
        return;
    for (auto const& [team, total] : totals)
        table.ownDemandShares[team] = total > 0 ? demandIn(table.own, team) / total : 0;
}

double demandBasedShare(PeerTable const& table, std::string const& team)
{
    Limits::DemandSnapshot snapshot;
    snapshot.nodesInDataCentre = static_cast<std::uint32_t>(countNodes(table));
    snapshot.nodesInDeployment = snapshot.nodesInDataCentre;
    auto const kept = table.ownDemandShares.find(team);
    if (!table.isInformed) {
        snapshot.ownDemand = kept == table.ownDemandShares.end() ? 0 : kept->second;
        snapshot.otherDemands = { 1 - snapshot.ownDemand };
        return Limits::nodeLimitFraction(snapshot);
    }
    snapshot.ownDemand = demandIn(table.own, team);
    double reporting = snapshot.ownDemand;
    for (auto const* row : coveringRows(table)) {
        bool const isKept = row->isSilent && row->demandShares.contains(team);
        if (isKept)
            continue;
        snapshot.otherDemands.push_back(reportedDemand(table, *row, team));
        reporting += snapshot.otherDemands.back();
    }
    // Demand that makes the silent nodes' fraction what it was.
    auto const silent = silentShare(table, team);
    snapshot.otherDemands.push_back(reporting * silent / (1 - silent));
    return Limits::nodeLimitFraction(snapshot);
}

bool isPartitionSuspected(PeerTable const& table, std::string const& dataCentre, Core::MonotonicTime now)
{
    bool isKnown = false;
    for (auto const* row : coveringRows(table)) {
        auto const& report = row->report;
        if (report.scope == ReportScope::Deployment)
            return std::find(report.silentDataCentres.begin(), report.silentDataCentres.end(), dataCentre) != report.silentDataCentres.end();
        if (report.dataCentre != dataCentre || report.isLeaving)
            continue;
        if (hasReportedWithin(*row, silentIntervals, now))
            return false;
        isKnown = true;
    }
    return isKnown;
}

std::uint32_t peerLoad(PeerTable const& table, std::uint32_t server, Core::MonotonicTime now)
{
    std::uint32_t load = 0;
    auto const loadIn = [&](NodeReport const& report) {
        auto const found = report.loads.find(server);
        return found == report.loads.end() ? std::uint32_t(0) : std::uint32_t(found->second);
    };
    for (auto const* row : coveringRows(table)) {
        if (!isLive(*row, now))
            continue;
        auto const reported = loadIn(row->report);
        auto const own = containsOwn(*row) ? loadIn(table.own) : 0;
        load += reported - std::min(reported, own);
    }
    return load;
}

std::chrono::milliseconds medianClockOffset(PeerTable const& table, Core::MonotonicTime now)
{
    std::vector<std::chrono::milliseconds> clockOffsets { 0ms };
    for (auto const* row : coveringRows(table)) {
        // The sender of sums of the deployment has corrected its clock by the median.
        if (containsOwn(*row))
            return row->clockOffset;
        if (isLive(*row, now))
            clockOffsets.push_back(row->clockOffset);
    }
    auto const middle = clockOffsets.begin() + static_cast<std::ptrdiff_t>(clockOffsets.size() / 2);
    std::nth_element(clockOffsets.begin(), middle, clockOffsets.end());
    return *middle;
}

}
