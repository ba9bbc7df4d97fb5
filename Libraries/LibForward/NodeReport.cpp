#include <LibForward/NodeReport.h>

#include <LibForward/NodeReport.capnp.h>
#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <kj/exception.h>
#include <xxhash.h>

namespace Forward {

std::uint64_t hashId(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

std::uint32_t serverKey(std::string_view id)
{
    return static_cast<std::uint32_t>(hashId(id));
}

NodeReport briefReport(NodeReport const& report, NodeReport const& before)
{
    auto brief = report;
    brief.isBrief = true;
    brief.usage.clear();
    brief.peers.clear();
    brief.quarantined.clear();
    brief.contacts.clear();
    // What no longer changes.
    std::erase_if(brief.rollouts, [&](auto const& rollout) {
        bool const isKnown = std::find(before.rollouts.begin(), before.rollouts.end(), rollout) != before.rollouts.end();
        return isKnown && Rollout::isFinal(rollout.order.state);
    });
    if (report.scope != ReportScope::Node)
        return brief;
    std::erase_if(brief.demands, [&](auto const& item) {
        auto const known = before.demands.find(item.first);
        return known != before.demands.end() && known->second.admitted == item.second.admitted && known->second.perSecond >= item.second.perSecond;
    });
    return brief;
}

static void encodeCrashes(PartCrashReports const& crashes, capnp::List<wire::PartCrash>::Builder list)
{
    unsigned index = 0;
    for (auto const& [id, crash] : crashes) {
        auto item = list[index++];
        item.setCrash(id);
        item.setAgeMilliseconds(static_cast<std::uint32_t>(crash.age.count()));
        item.setServer(crash.server);
    }
}

static PartCrashReports crashesFrom(capnp::List<wire::PartCrash>::Reader list)
{
    PartCrashReports crashes;
    for (auto const item : list)
        crashes[item.getCrash()] = { std::chrono::milliseconds(item.getAgeMilliseconds()), item.getServer() };
    return crashes;
}

static void encodeSuspects(std::vector<SuspectPartReport> const& suspects, capnp::List<wire::SuspectPart>::Builder list)
{
    unsigned index = 0;
    for (auto const& suspect : suspects) {
        auto item = list[index++];
        item.setPart(suspect.part);
        item.setIsPrefix(suspect.isPrefix);
        if (suspect.soundAge)
            item.setSoundAgeMilliseconds(static_cast<std::int32_t>(suspect.soundAge->count()));
        encodeCrashes(suspect.crashes, item.initCrashes(static_cast<unsigned>(suspect.crashes.size())));
        encodeCrashes(suspect.otherCrashes, item.initOtherCrashes(static_cast<unsigned>(suspect.otherCrashes.size())));
    }
}

static std::vector<SuspectPartReport> suspectsFrom(capnp::List<wire::SuspectPart>::Reader list)
{
    std::vector<SuspectPartReport> suspects;
    for (auto const item : list) {
        auto& suspect = suspects.emplace_back();
        suspect.part = item.getPart();
        suspect.isPrefix = item.getIsPrefix();
        if (item.getSoundAgeMilliseconds() >= 0)
            suspect.soundAge = std::chrono::milliseconds(item.getSoundAgeMilliseconds());
        suspect.crashes = crashesFrom(item.getCrashes());
        suspect.otherCrashes = crashesFrom(item.getOtherCrashes());
    }
    return suspects;
}

static void encodeUsage(CountsByWindow const& usage, capnp::List<wire::UsageWindow>::Builder windows)
{
    unsigned index = 0;
    for (auto const& [window, counts] : usage) {
        auto entry = windows[index++];
        entry.setWindow(window);
        auto list = entry.initCounts(static_cast<unsigned>(counts.size()));
        unsigned position = 0;
        for (auto const& [team, count] : counts) {
            list[position].setTeam(team);
            list[position++].setCount(static_cast<std::uint32_t>(count));
        }
    }
}

static void encodeContacts(std::vector<NodeContact> const& contacts, capnp::List<wire::NodeContact>::Builder list)
{
    unsigned index = 0;
    for (auto const& contact : contacts) {
        auto entry = list[index++];
        entry.setNode(contact.node);
        entry.setDataCentre(contact.dataCentre);
        entry.setEndpoint(contact.endpoint);
        entry.setProcessorShare(contact.processorShare);
        entry.setConfigurationVersion(contact.configurationVersion);
        entry.setServersRevision(contact.serversRevision.number);
        entry.setServersEra(contact.serversRevision.era);
        entry.setWatchesStore(contact.watchesStore);
    }
}

static void encodeRollout(RolloutReport const& rollout, wire::Rollout::Builder item)
{
    auto const& order = rollout.order;
    item.setService(order.id.service);
    item.setTo(order.id.to);
    item.setPeriodMilliseconds(static_cast<std::uint64_t>(order.id.period.count()));
    item.setState(static_cast<wire::Rollout::State>(order.state));
    item.setStartedAtUnixMilliseconds(order.startedAt);
    item.setRevision(order.revision.number);
    item.setEra(order.revision.era);
    item.setFoundBad(order.isFoundBad);
    item.setReason(order.reason);
    auto rejected = item.initRejectedVersions(static_cast<unsigned>(order.rejectedVersions.size()));
    for (unsigned i = 0; i < rejected.size(); ++i)
        rejected.set(i, order.rejectedVersions[i]);
    auto evidence = item.initEvidence(static_cast<unsigned>(rollout.evidence.size()));
    unsigned index = 0;
    for (auto const& [key, counts] : rollout.evidence) {
        auto entry = evidence[index++];
        entry.setIsCandidate(key.first == Rollout::Group::Candidate);
        entry.setRoute(key.second);
        entry.setResponses(counts.responses);
        entry.setFailures(counts.failures);
        entry.setBroken(counts.broken);
        auto times = entry.initTimes(Rollout::timeClasses);
        for (unsigned i = 0; i < times.size(); ++i)
            times.set(i, counts.times[i]);
    }
}

// Returns an empty optional for a state that this version does not know.
static std::optional<RolloutReport> rolloutFrom(wire::Rollout::Reader item)
{
    // The longest period that an order may have is far below.
    static constexpr std::uint64_t maximumPeriodMilliseconds = std::uint64_t(1) << 40;
    if (item.getState() > wire::Rollout::State::ROLLED_BACK || item.getPeriodMilliseconds() > maximumPeriodMilliseconds)
        return std::nullopt;
    RolloutReport rollout;
    auto& order = rollout.order;
    order.id = { item.getService(), item.getTo(), std::chrono::milliseconds(item.getPeriodMilliseconds()) };
    order.state = static_cast<Rollout::State>(item.getState());
    order.startedAt = item.getStartedAtUnixMilliseconds();
    order.revision = { item.getEra(), item.getRevision() };
    order.isFoundBad = item.getFoundBad();
    order.reason = item.getReason();
    for (auto const version : item.getRejectedVersions())
        order.rejectedVersions.emplace_back(version);
    for (auto const entry : item.getEvidence()) {
        auto& counts = rollout.evidence[{ entry.getIsCandidate() ? Rollout::Group::Candidate : Rollout::Group::Incumbent, std::string(entry.getRoute()) }];
        counts.responses = entry.getResponses();
        counts.failures = entry.getFailures();
        counts.broken = entry.getBroken();
        auto const times = entry.getTimes();
        for (unsigned i = 0; i < std::min<unsigned>(times.size(), Rollout::timeClasses); ++i)
            counts.times[i] = times[i];
    }
    return rollout;
}

std::string encodeReport(NodeReport const& report)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::NodeReport>();
    root.setNode(report.node);
    root.setIncarnation(report.incarnation);
    root.setDataCentre(report.dataCentre);
    root.setEndpoint(report.endpoint);
    root.setSentAtUnixMilliseconds(report.sentAtUnixMilliseconds);
    root.setConfigurationVersion(report.configurationVersion);
    root.setServersRevision(report.serversRevision.number);
    root.setServersEra(report.serversRevision.era);
    root.setLeaving(report.isLeaving);
    root.setHoldsDuties(report.holdsDuties);
    root.setFollowsStore(report.watchesStore);
    root.setBrief(report.isBrief);
    root.setIntervalMilliseconds(static_cast<std::uint32_t>(report.interval.count()));
    auto loads = root.initLoadsByKey(static_cast<unsigned>(report.loads.size()));
    unsigned index = 0;
    for (auto const& [server, inProgress] : report.loads) {
        loads[index].setKey(server);
        loads[index++].setInProgress(inProgress);
    }
    auto demands = root.initDemands(static_cast<unsigned>(report.demands.size()));
    index = 0;
    for (auto const& [team, demand] : report.demands) {
        demands[index].setTeam(team);
        demands[index].setPerSecond(demand.perSecond);
        demands[index++].setAdmitted(demand.admitted);
    }
    encodeUsage(report.usage, root.initUsage(static_cast<unsigned>(report.usage.size())));
    auto peers = root.initPeers(static_cast<unsigned>(report.peers.size()));
    for (unsigned i = 0; i < peers.size(); ++i)
        peers.set(i, report.peers[i]);
    auto quarantined = root.initQuarantined(static_cast<unsigned>(report.quarantined.size()));
    index = 0;
    for (auto const& [fingerprint, remaining] : report.quarantined)
        quarantined.set(index++, fingerprint);
    if (!report.quarantined.empty()) {
        auto milliseconds = root.initQuarantinedMilliseconds(quarantined.size());
        index = 0;
        for (auto const& [fingerprint, remaining] : report.quarantined)
            milliseconds.set(index++, static_cast<std::uint32_t>(remaining.value_or(std::chrono::milliseconds(0)).count()));
    }
    encodeSuspects(report.suspectParts, root.initSuspectParts(static_cast<unsigned>(report.suspectParts.size())));
    // An empty list takes bytes in each report, one that is absent does not.
    if (!report.suspectRequests.empty())
        encodeSuspects(report.suspectRequests, root.initSuspectRequests(static_cast<unsigned>(report.suspectRequests.size())));
    auto leaving = root.initLeavingServers(static_cast<unsigned>(report.leavingServers.size()));
    for (unsigned i = 0; i < leaving.size(); ++i) {
        leaving[i].setServer(report.leavingServers[i].server);
        leaving[i].setIncarnation(report.leavingServers[i].incarnation);
    }
    // An absent structure takes no bytes.
    if (!report.rollouts.empty() || report.rolloutsRevision != Core::StoreRevision {}) {
        auto rollouts = root.initRollouts();
        rollouts.setRevision(report.rolloutsRevision.number);
        rollouts.setEra(report.rolloutsRevision.era);
        auto orders = rollouts.initOrders(static_cast<unsigned>(report.rollouts.size()));
        for (unsigned i = 0; i < orders.size(); ++i)
            encodeRollout(report.rollouts[i], orders[i]);
    }
    root.setScope(static_cast<wire::NodeReport::Scope>(report.scope));
    root.setNodes(report.nodes);
    root.setProcessorShare(report.processorShare);
    root.setAggregator(report.aggregator);
    encodeContacts(report.contacts, root.initContacts(static_cast<unsigned>(report.contacts.size())));
    auto silent = root.initSilentDataCentres(static_cast<unsigned>(report.silentDataCentres.size()));
    for (unsigned i = 0; i < silent.size(); ++i)
        silent.set(i, report.silentDataCentres[i]);

    kj::VectorOutputStream output;
    capnp::writePackedMessage(output, message);
    auto const bytes = output.getArray();
    return { reinterpret_cast<char const*>(bytes.begin()), bytes.size() };
}

static NodeReport reportFrom(wire::NodeReport::Reader root)
{
    NodeReport report;
    report.node = root.getNode();
    report.incarnation = root.getIncarnation();
    report.dataCentre = root.getDataCentre();
    report.endpoint = root.getEndpoint();
    report.sentAtUnixMilliseconds = root.getSentAtUnixMilliseconds();
    report.configurationVersion = root.getConfigurationVersion();
    report.serversRevision = { root.getServersEra(), root.getServersRevision() };
    report.isLeaving = root.getLeaving();
    report.holdsDuties = root.getHoldsDuties();
    report.watchesStore = root.getFollowsStore();
    report.interval = std::chrono::milliseconds(root.getIntervalMilliseconds());
    report.isBrief = root.getBrief();
    for (auto const load : root.getLoads())
        report.loads[static_cast<std::uint32_t>(load.getServer())] = load.getInProgress();
    for (auto const load : root.getLoadsByKey())
        report.loads[load.getKey()] = load.getInProgress();
    for (auto const demand : root.getDemands())
        report.demands[demand.getTeam()] = { demand.getPerSecond(), demand.getAdmitted() };
    for (auto const window : root.getUsage()) {
        for (auto const count : window.getCounts())
            report.usage[window.getWindow()][count.getTeam()] = count.getCount();
    }
    for (auto const peer : root.getPeers())
        report.peers.emplace_back(peer);
    auto const quarantinedMilliseconds = root.getQuarantinedMilliseconds();
    unsigned index = 0;
    for (auto const fingerprint : root.getQuarantined()) {
        auto const remaining = index < quarantinedMilliseconds.size() ? quarantinedMilliseconds[index] : 0;
        ++index;
        report.quarantined[fingerprint] = remaining > 0 ? std::optional(std::chrono::milliseconds(remaining)) : std::nullopt;
    }
    report.suspectParts = suspectsFrom(root.getSuspectParts());
    report.suspectRequests = suspectsFrom(root.getSuspectRequests());
    for (auto const server : root.getLeavingServers())
        report.leavingServers.push_back({ server.getServer(), server.getIncarnation() });
    for (auto const item : root.getRollouts().getOrders()) {
        if (auto rollout = rolloutFrom(item))
            report.rollouts.push_back(std::move(*rollout));
    }
    report.rolloutsRevision = { root.getRollouts().getEra(), root.getRollouts().getRevision() };
    // A newer sender may use a scope that this version does not know.
    if (root.getScope() > wire::NodeReport::Scope::DEPLOYMENT)
        return {};
    report.scope = static_cast<ReportScope>(root.getScope());
    report.nodes = root.getNodes();
    report.processorShare = root.getProcessorShare();
    report.aggregator = root.getAggregator();
    for (auto const contact : root.getContacts())
        report.contacts.push_back({ contact.getNode(), contact.getDataCentre(), contact.getEndpoint(), contact.getProcessorShare(), contact.getConfigurationVersion(), { contact.getServersEra(), contact.getServersRevision() }, contact.getWatchesStore() });
    for (auto const dataCentre : root.getSilentDataCentres())
        report.silentDataCentres.emplace_back(dataCentre);
    return report;
}

// The sums, ranks and times that are computed from reports stay in range.
static bool areNumbersInRange(NodeReport const& report)
{
    static constexpr std::int64_t maximumUnixMilliseconds = std::int64_t(1) << 53;
    static constexpr std::uint32_t maximumNodes = 100'000;
    auto const isTime = [](std::int64_t milliseconds) { return milliseconds >= -maximumUnixMilliseconds && milliseconds <= maximumUnixMilliseconds; };
    auto const isQuantity = [](float value) { return std::isfinite(value) && value >= 0; };
    bool const isSenderInRange = isTime(report.sentAtUnixMilliseconds) && report.nodes <= maximumNodes && isQuantity(report.processorShare);
    return isSenderInRange
        && std::all_of(report.rollouts.begin(), report.rollouts.end(), [&](auto const& rollout) { return isTime(rollout.order.startedAt); })
        && std::all_of(report.demands.begin(), report.demands.end(), [&](auto const& item) { return isQuantity(item.second.perSecond) && std::isfinite(item.second.admitted); })
        && std::all_of(report.contacts.begin(), report.contacts.end(), [&](auto const& contact) { return isQuantity(contact.processorShare); });
}

std::optional<NodeReport> decodeReport(std::string_view bytes)
{
    // A packed datagram of 64 KB may stand for many MB of zeros.
    static constexpr std::uint64_t maximumWords = 1024 * 1024 / sizeof(capnp::word);
    // Cap'n Proto throws on malformed messages.
    try {
        kj::ArrayPtr<kj::byte const> const array(reinterpret_cast<kj::byte const*>(bytes.data()), bytes.size());
        kj::ArrayInputStream input(array);
        capnp::PackedMessageReader reader(input, { .traversalLimitInWords = maximumWords });
        auto report = reportFrom(reader.getRoot<wire::NodeReport>());
        if (report.node.empty() || !areNumbersInRange(report))
            return std::nullopt;
        return report;
    } catch (kj::Exception const&) {
        return std::nullopt;
    }
}

}
