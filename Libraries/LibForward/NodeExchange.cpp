#include <LibForward/NodeExchange.h>

#include <algorithm>

namespace Forward {

using namespace std::chrono_literals;

// The deployment returns to direct reports only when it is clearly smaller, so that it does not alternate.
static constexpr std::size_t nodesForDirectReports = 60;

// Interval of complete reports to aggregating nodes and between them.
static constexpr Core::Duration completeReportInterval = 1s;

// Interval of complete sums of the deployment; they are also sent when the contacts change.
static constexpr Core::Duration completeSumsInterval = 4s;

// Interval of sums to nodes that use another node's, so that they can change to these at once.
static constexpr Core::Duration standbySumsInterval = 1s;

// The interval that sums state: their sender counts as failed if none arrives for somewhat longer than the interval above.
static constexpr std::chrono::milliseconds standbySumsReportedInterval { 300 };

// Interval of sums to nodes of other data centres, which only look for the aggregating nodes of their own.
static constexpr Core::Duration foreignSumsInterval = 5s;

// Rounds may start slightly early.
static constexpr Core::Duration roundTolerance = 50ms;

// Named in sums, so that a node knows others when the aggregating ones of its data centre fail.
static constexpr std::size_t contactsPerDataCentre = 3;

static std::optional<Core::Endpoint> endpointFrom(std::string const& text)
{
    Core::Error ignored;
    return Core::parseEndpoint(text, ignored);
}

static NodeContact contactOf(NodeReport const& report)
{
    return { report.node, report.dataCentre, report.endpoint, report.processorShare, report.configurationVersion, report.serversRevision, report.watchesStore };
}

static void addLive(std::map<NodeRank, NodeContact>& ranked, std::map<std::string, PeerTable::Row> const& rows, std::string const& dataCentre, Core::MonotonicTime now)
{
    for (auto const& [node, row] : rows) {
        if (row.report.dataCentre == dataCentre && !row.report.isLeaving && isLive(row, now))
            ranked.try_emplace(nodeRank(row.report), contactOf(row.report));
    }
}

static std::vector<NodeContact> inOrder(std::map<NodeRank, NodeContact> const& ranked)
{
    std::vector<NodeContact> nodes;
    nodes.reserve(ranked.size());
    for (auto const& [rank, contact] : ranked)
        nodes.push_back(contact);
    return nodes;
}

static void addOwn(std::map<NodeRank, NodeContact>& ranked, PeerTable const& table, std::string const& dataCentre)
{
    if (table.own.dataCentre == dataCentre && !table.own.isLeaving && !table.own.node.empty())
        ranked.try_emplace(nodeRank(table.own), contactOf(table.own));
}

std::vector<NodeContact> rankedNodes(PeerTable const& table, std::string const& dataCentre, Core::MonotonicTime now)
{
    std::map<NodeRank, NodeContact> ranked;
    addLive(ranked, table.rows, dataCentre, now);
    addLive(ranked, table.deploymentRows, dataCentre, now);
    addLive(ranked, table.dataCentreRows, dataCentre, now);
    addLive(ranked, table.contacts, dataCentre, now);
    addOwn(ranked, table, dataCentre);
    return inOrder(ranked);
}

// The nodes of a data centre that sum the reports of the others.
static std::vector<NodeContact> aggregatingNodes(PeerTable const& table, std::string const& dataCentre, Core::MonotonicTime now)
{
    auto ranked = rankedNodes(table, dataCentre, now);
    ranked.resize(std::min(ranked.size(), aggregatorsPerDataCentre));
    return ranked;
}

static bool isAggregatingNode(PeerTable const& table, NodeReport const& report, Core::MonotonicTime now)
{
    auto const nodes = aggregatingNodes(table, report.dataCentre, now);
    return std::any_of(nodes.begin(), nodes.end(), [&](auto const& contact) { return contact.node == report.node; });
}

bool isAggregating(PeerTable const& table, Core::MonotonicTime now)
{
    return isAggregatingNode(table, table.own, now);
}

static void chooseDataCentreSources(PeerTable& table, Core::MonotonicTime now)
{
    table.dataCentreSources.clear();
    if (!table.isAggregated)
        return;
    for (auto const& [node, row] : table.dataCentreRows) {
        auto const [found, isNew] = table.dataCentreSources.try_emplace(row.report.dataCentre, node);
        if (isNew)
            continue;
        auto const& other = table.dataCentreRows.at(found->second);
        auto const preference = [&](PeerTable::Row const& candidate) { return std::tuple(!isLive(candidate, now), nodeRank(candidate.report)); };
        if (preference(row) < preference(other))
            found->second = node;
    }
}

void updateSources(PeerTable& table, Core::MonotonicTime now)
{
    // Nodes that start learn of the others step by step.
    static constexpr double sufficientCoverage = 0.7;
    std::size_t largest = table.rows.size() + 1;
    for (auto const& [node, row] : table.deploymentRows)
        largest = std::max<std::size_t>(largest, isLive(row, now) ? row.report.nodes : 0);
    auto const previous = std::exchange(table.aggregator, {});
    table.isAggregated = std::max(largest, table.knownNodes) > (table.isAggregated ? nodesForDirectReports : maximumNodesWithDirectReports);
    chooseDataCentreSources(table, now);
    if (!table.isAggregated)
        return;
    auto const ownNodes = isAggregating(table, now) ? countNodes(table) : 0;
    auto const needed = sufficientCoverage * static_cast<double>(std::max(largest, ownNodes));
    PeerTable::Row const* best = nullptr;
    auto const preference = [&](PeerTable::Row const& row) { return std::tuple(row.report.dataCentre != table.own.dataCentre, nodeRank(row.report)); };
    for (auto const& [node, row] : table.deploymentRows) {
        // A node that uses the sums of another one only names better nodes in its own.
        if (isLive(row, now) && row.report.aggregator.empty() && row.report.nodes >= needed && (!best || preference(row) < preference(*best)))
            best = &row;
    }
    // An aggregating node uses its own sums, which are the most recent, once they are complete.
    if (static_cast<double>(ownNodes) >= needed && ownNodes > 0)
        return;
    // Without any live sums the last ones are kept until they expire.
    if (best)
        table.aggregator = best->report.node;
    else if (table.deploymentRows.contains(previous))
        table.aggregator = previous;
    if (table.aggregator == previous)
        return;
    table.ownAdmissionsInSums.clear();
    for (auto const& [team, demand] : table.own.demands)
        table.ownAdmissionsInSums[team] = demand.admitted;
}

static bool isInScope(NodeReport const& report, PeerTable const& table, ReportScope scope)
{
    return scope == ReportScope::Deployment || (report.scope == ReportScope::Node && report.dataCentre == table.own.dataCentre);
}

// Adds the evidence on the orders that this node knows. Its own is in the sums already.
static void addEvidence(NodeReport& sums, PeerTable const& table, NodeReport const& report, bool containsOwn)
{
    for (auto& rollout : sums.rollouts) {
        auto const isSame = [&](auto const& other) { return other.order.id == rollout.order.id; };
        auto const found = std::find_if(report.rollouts.begin(), report.rollouts.end(), isSame);
        if (found == report.rollouts.end())
            continue;
        auto const own = std::find_if(table.own.rollouts.begin(), table.own.rollouts.end(), isSame);
        Rollout::mergeEvidence(rollout.evidence, containsOwn ? Rollout::evidenceSince(found->evidence, own->evidence) : found->evidence);
    }
}

static void addContacts(NodeReport& sums, PeerTable const& table, Core::MonotonicTime now)
{
    // Only nodes that were heard directly, or by an aggregating node: otherwise two nodes could keep a dead one alive for each other.
    std::map<std::string, std::map<NodeRank, NodeContact>> byDataCentre;
    addOwn(byDataCentre[table.own.dataCentre], table, table.own.dataCentre);
    auto const add = [&](NodeContact const& contact, NodeRank rank) {
        if (sums.scope == ReportScope::Deployment || contact.dataCentre == table.own.dataCentre)
            byDataCentre[contact.dataCentre].try_emplace(rank, contact);
    };
    for (auto const* rows : { &table.rows, &table.dataCentreRows }) {
        for (auto const& [node, row] : *rows) {
            if (!isLive(row, now) || row.report.isLeaving)
                continue;
            add(contactOf(row.report), nodeRank(row.report));
            for (auto const& contact : row.report.contacts) {
                if (contact.dataCentre == row.report.dataCentre)
                    add(contact, { -contact.processorShare, hashId(contact.node) });
            }
        }
    }
    auto const aggregator = table.deploymentRows.find(table.aggregator);
    if (aggregator != table.deploymentRows.end() && isLive(aggregator->second, now)) {
        for (auto const& contact : aggregator->second.report.contacts)
            add(contact, { -contact.processorShare, hashId(contact.node) });
    }
    for (auto const& [dataCentre, ranked] : byDataCentre) {
        std::size_t count = 0;
        for (auto const& [rank, contact] : ranked) {
            if (count++ < contactsPerDataCentre)
                sums.contacts.push_back(contact);
        }
    }
}

NodeReport sumReports(PeerTable const& table, UsageTable const& usage, ReportScope scope, Core::MonotonicTime now)
{
    NodeReport sums = table.own;
    sums.scope = scope;
    sums.peers.clear();
    sums.aggregator = table.aggregator;
    if (scope == ReportScope::Deployment)
        sums.interval = standbySumsReportedInterval;
    sums.sentAtUnixMilliseconds += medianClockOffset(table, now).count();
    std::set<std::string> dataCentres;
    for (auto const* row : scope == ReportScope::DataCentre ? directlyCoveringRows(table) : coveringRows(table)) {
        auto const& report = row->report;
        if (report.scope != ReportScope::Deployment)
            dataCentres.insert(report.dataCentre);
        else if (scope == ReportScope::Deployment)
            sums.silentDataCentres = report.silentDataCentres;
        if (!isInScope(report, table, scope))
            continue;
        bool const containsOwn = report.scope == ReportScope::Deployment;
        sums.nodes += report.nodes - (containsOwn && report.nodes > 0 ? 1 : 0);
        addEvidence(sums, table, report, containsOwn);
        // A silent node keeps its demand for a while, since it may still serve clients behind a partition.
        for (auto const& [team, demand] : report.demands) {
            auto const own = table.own.demands.find(team);
            float const contained = containsOwn && own != table.own.demands.end() ? own->second.perSecond : 0;
            sums.demands[team].perSecond += std::max(demand.perSecond - contained, 0.0F);
        }
        if (!isLive(*row, now))
            continue;
        sums.holdsDuties = sums.holdsDuties || report.holdsDuties;
        for (auto const& [server, load] : report.loads) {
            auto const own = table.own.loads.find(server);
            int const contained = containsOwn && own != table.own.loads.end() ? own->second : 0;
            auto& sum = sums.loads[server];
            sum = static_cast<std::uint16_t>(std::clamp(sum + load - contained, 0, int(UINT16_MAX)));
        }
    }
    auto const& admissions = scope == ReportScope::DataCentre ? table.dataCentreAdmissions : table.deploymentAdmissions;
    for (auto const& [team, admitted] : admissions)
        sums.demands[team].admitted += admitted;
    addContacts(sums, table, now);
    if (scope == ReportScope::DataCentre) {
        sums.usage = countsOfDataCentre(usage, table.own.dataCentre);
        return sums;
    }
    // Normally the holder of the duties is an aggregating node, which has the sums of the data centres.
    sums.usage.clear();
    if (std::any_of(table.rows.begin(), table.rows.end(), [](auto const& item) { return item.second.report.holdsDuties; }))
        sums.usage = totalCountsByWindow(usage);
    for (auto const& dataCentre : dataCentres) {
        if (dataCentre != table.own.dataCentre && isPartitionSuspected(table, dataCentre, now))
            sums.silentDataCentres.push_back(dataCentre);
    }
    return sums;
}

namespace {

// Encodes a report once for all its recipients, complete and brief.
class EncodedReport {
public:
    EncodedReport(NodeReport report, NodeReport const& before)
        : m_report(std::move(report))
        , m_before(before)
    {
    }

    [[nodiscard]] NodeReport const& report() const { return m_report; }

    std::shared_ptr<std::string const> const& complete()
    {
        if (!m_complete)
            m_complete = std::make_shared<std::string const>(encodeReport(m_report));
        return m_complete;
    }

    std::shared_ptr<std::string const> const& brief()
    {
        if (!m_brief)
            m_brief = std::make_shared<std::string const>(encodeReport(briefReport(m_report, m_before)));
        return m_brief;
    }

private:
    NodeReport m_report;
    NodeReport const& m_before;
    std::shared_ptr<std::string const> m_complete;
    std::shared_ptr<std::string const> m_brief;
};

}

static std::vector<OutgoingReport> planDirectReports(NodeExchange& exchange, PeerTable const& table, EncodedReport& report, Core::MonotonicTime now)
{
    std::vector<OutgoingReport> outgoing;
    auto const own = endpointFrom(table.own.endpoint);
    auto const fullTargets = fullReportTargets(table, exchange.fullReportsSentAt, report.complete()->size(), now);
    for (auto const& [endpoint, mentionedAt] : table.candidates) {
        if (own && endpoint == *own)
            continue;
        bool const isComplete = fullTargets.contains(endpoint);
        if (isComplete)
            exchange.fullReportsSentAt[endpoint] = now;
        outgoing.push_back({ endpoint, isComplete ? report.complete() : report.brief() });
    }
    return outgoing;
}

namespace {

// The reports of one round in a deployment with aggregating nodes.
class AggregatedRound {
public:
    AggregatedRound(NodeExchange& exchange, PeerTable const& table, UsageTable const& usage, NodeReport const& before, Core::MonotonicTime now)
        : m_exchange(exchange)
        , m_table(table)
        , m_now(now)
        , m_report(table.own, before)
        , m_dataCentreSums(sumReports(table, usage, ReportScope::DataCentre, now), before)
        , m_deploymentSums(sumReports(table, usage, ReportScope::Deployment, now), before)
        , m_own(endpointFrom(table.own.endpoint))
    {
    }

    std::vector<OutgoingReport> plan()
    {
        for (auto const& contact : aggregatingNodes(m_table, m_table.own.dataCentre, m_now))
            sendOwn(contact.endpoint);
        bool const hasSums = m_table.aggregator.empty() ? isAggregating(m_table, m_now) : isLive(m_table.deploymentRows.at(m_table.aggregator), m_now);
        if (!hasSums)
            searchSums();
        contactSeed();
        sendDeploymentSums();
        if (isAggregating(m_table, m_now))
            sendDataCentreSums();
        correctOtherDataCentres();
        return std::move(m_outgoing);
    }

private:
    // Returns whether a message of that interval is due at a recipient, and records that it is sent.
    bool takeTurn(std::map<Core::Endpoint, Core::MonotonicTime>& sentAt, Core::Endpoint const& recipient, Core::Duration interval)
    {
        auto const [found, isNew] = sentAt.try_emplace(recipient, m_now);
        if (!isNew && m_now - found->second + roundTolerance < interval)
            return false;
        found->second = m_now;
        return true;
    }

    bool shouldSendComplete(Core::Endpoint const& recipient)
    {
        return takeTurn(m_exchange.fullReportsSentAt, recipient, completeReportInterval);
    }

    void send(Core::Endpoint const& recipient, EncodedReport& report, bool isComplete)
    {
        m_outgoing.push_back({ recipient, isComplete ? report.complete() : report.brief() });
    }

    void sendOwn(Core::Endpoint const& recipient)
    {
        if ((m_own && recipient == *m_own) || !m_recipientsOfOwn.insert(recipient).second)
            return;
        send(recipient, m_report, shouldSendComplete(recipient));
    }

    void sendOwn(std::string const& recipient)
    {
        if (auto const endpoint = endpointFrom(recipient))
            sendOwn(*endpoint);
    }

    // Any node that receives a report responds with its sums, which name the aggregating nodes.
    void searchSums()
    {
        for (auto const& seed : m_exchange.seeds)
            sendOwn(seed);
        for (auto const& [node, row] : m_table.contacts)
            sendOwn(row.report.endpoint);
    }

    // Joins groups of nodes that know nothing of each other.
    void contactSeed()
    {
        static constexpr Core::Duration intervalPerNode = 100ms;
        auto const interval = intervalPerNode * m_table.knownNodes;
        // Nodes that started together contact the seeds at different times.
        if (m_exchange.seedContactedAt == Core::MonotonicTime {})
            m_exchange.seedContactedAt = m_now - interval * (hashId(m_table.own.node) % 100) / 100;
        if (m_exchange.seeds.empty() || m_now - m_exchange.seedContactedAt < interval)
            return;
        m_exchange.seedContactedAt = m_now;
        sendOwn(m_exchange.seeds[hashId(m_table.own.node) % m_exchange.seeds.size()]);
    }

    void sendDeploymentSums()
    {
        // Bounds the traffic of a node that receives sums.
        static constexpr double sumBytesPerSecond = 6000;
        std::chrono::duration<double> const interval(static_cast<double>(m_deploymentSums.brief()->size()) / sumBytesPerSecond);
        std::vector<std::string> named;
        for (auto const& contact : m_deploymentSums.report().contacts)
            named.push_back(contact.node);
        bool const isChanged = named != std::exchange(m_exchange.namedContacts, named);
        for (auto const& [node, row] : m_table.rows) {
            if (!isLive(row, m_now))
                continue;
            auto const recipient = endpointFrom(row.report.endpoint);
            if (!recipient)
                continue;
            bool const isOwnDataCentre = row.report.dataCentre == m_table.own.dataCentre;
            auto due = isOwnDataCentre ? standbySumsInterval : foreignSumsInterval;
            if (row.report.aggregator == m_table.own.node)
                due = std::min(std::chrono::duration_cast<Core::Duration>(interval), standbySumsInterval);
            bool const mustSend = isOwnDataCentre && isChanged;
            if (!takeTurn(m_exchange.sumsSentAt, *recipient, mustSend ? Core::Duration::zero() : due))
                continue;
            send(*recipient, m_deploymentSums, takeTurn(m_exchange.completeSumsSentAt, *recipient, mustSend ? Core::Duration::zero() : completeSumsInterval));
        }
    }

    // Nodes that sum the reports of another data centre and do not know its higher ranked nodes learn of them.
    void correctOtherDataCentres()
    {
        for (auto const& [node, row] : m_table.dataCentreRows) {
            auto const recipient = endpointFrom(row.report.endpoint);
            if (recipient && isLive(row, m_now) && !isAggregatingNode(m_table, row.report, m_now) && takeTurn(m_exchange.sumsSentAt, *recipient, standbySumsInterval))
                send(*recipient, m_deploymentSums, true);
        }
    }

    void sendDataCentreSums()
    {
        std::set<std::string> dataCentres;
        for (auto const* rows : { &m_table.rows, &m_table.dataCentreRows, &m_table.contacts }) {
            for (auto const& [node, row] : *rows)
                dataCentres.insert(row.report.dataCentre);
        }
        dataCentres.erase(m_table.own.dataCentre);
        for (auto const& dataCentre : dataCentres) {
            for (auto const& contact : aggregatingNodes(m_table, dataCentre, m_now)) {
                if (auto const recipient = endpointFrom(contact.endpoint))
                    send(*recipient, m_dataCentreSums, shouldSendComplete(*recipient));
            }
        }
    }

    NodeExchange& m_exchange;
    PeerTable const& m_table;
    Core::MonotonicTime m_now;
    EncodedReport m_report;
    EncodedReport m_dataCentreSums;
    EncodedReport m_deploymentSums;
    std::optional<Core::Endpoint> m_own;
    std::set<Core::Endpoint> m_recipientsOfOwn;
    std::vector<OutgoingReport> m_outgoing;
};

}

std::vector<OutgoingReport> planReports(NodeExchange& exchange, PeerTable& table, UsageTable const& usage, NodeReport own, Core::MonotonicTime now)
{
    updateSources(table, now);
    own.aggregator = table.aggregator;
    auto const before = std::exchange(table.own, std::move(own));
    recordDemandShares(table, now);
    auto const isUnknown = [&](auto const& item) { return !table.candidates.contains(item.first); };
    std::erase_if(exchange.fullReportsSentAt, isUnknown);
    std::erase_if(exchange.sumsSentAt, isUnknown);
    std::erase_if(exchange.completeSumsSentAt, isUnknown);
    if (table.isAggregated)
        return AggregatedRound(exchange, table, usage, before, now).plan();
    EncodedReport report(table.own, before);
    return planDirectReports(exchange, table, report, now);
}

}
