#include <Edge/PeerExchange.h>

#include <Edge/RolloutState.h>
#include <LibCore/Log.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Edge {

namespace asio = boost::asio;
using asio::ip::udp;

// A tick may occur slightly early.
static constexpr Core::Duration tickTolerance = std::chrono::milliseconds(50);

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

PeerExchange::PeerExchange(Core::Runtime& runtime, EdgeTables& tables, EdgeSettings const& settings, ReportSource source)
    : m_runtime(runtime)
    , m_tables(tables)
    , m_settings(settings)
    , m_reportSource(std::move(source))
    , m_socket(runtime.context())
{
}

static udp::endpoint toUdp(Core::Endpoint const& endpoint, boost::system::error_code& errorCode)
{
    return { asio::ip::make_address(endpoint.address, errorCode), endpoint.port };
}

bool PeerExchange::start(Core::Error& error)
{
    boost::system::error_code errorCode;
    auto const local = toUdp(m_settings.peerListen, errorCode);
    if (!errorCode)
        m_socket.open(local.protocol(), errorCode);
    if (!errorCode)
        m_socket.bind(local, errorCode);
    if (errorCode)
        return Core::fail(error, Core::ErrorKind::InvalidSetting, "cannot bind " + m_settings.peerListen.toString() + ": " + errorCode.message()), false;
    m_socket.non_blocking(true, errorCode);
    m_runtime.spawn(receive());
    return true;
}

Core::Awaitable<void> PeerExchange::receive()
{
    while (m_socket.is_open()) {
        udp::endpoint sender;
        auto [errorCode, length] = co_await m_socket.async_receive_from(asio::buffer(m_buffer), sender, useTuple);
        // The error may concern an earlier datagram to a peer that is not running; other peers can still send.
        if (!errorCode)
            handleDatagram({ m_buffer.data(), length });
    }
}

// Returns the parts that are refused from now on.
static std::vector<Limits::PromptPartHash> mergeSuspects(Limits::CrashSuspectTable& table, std::vector<Forward::SuspectPartReport> const& suspects, Core::MonotonicTime now)
{
    std::vector<Limits::PromptPartHash> refused;
    for (auto const& suspect : suspects) {
        Limits::SuspectPart evidence { .isPrefix = suspect.isPrefix };
        for (auto const& [id, crash] : suspect.crashes)
            evidence.crashes[id] = { crash.server, now - crash.age };
        for (auto const& [id, crash] : suspect.otherCrashes)
            evidence.otherCrashes[id] = { crash.server, now - crash.age };
        if (suspect.soundAge)
            evidence.soundAt = now - *suspect.soundAge;
        auto const added = Limits::mergeSuspect(table, suspect.part, evidence, now);
        refused.insert(refused.end(), added.begin(), added.end());
    }
    return refused;
}

void PeerExchange::handleDatagram(std::string_view datagram)
{
    auto report = Forward::decodeReport(datagram);
    if (!report) {
        Core::logEvent(Core::LogLevel::Warning, "peer_report_refused", { { "bytes", std::uint64_t(datagram.size()) } });
        return;
    }
    if (report->node == m_settings.nodeId)
        return;
    auto const now = m_runtime.now();
    auto const unixTime = std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch()).count();
    mergeUsage(*report);
    // Earlier versions do not report the end, and renew their quarantines for each other.
    static constexpr std::chrono::milliseconds defaultRemaining = std::chrono::minutes(1);
    for (auto const& [fingerprint, remaining] : report->quarantined)
        Limits::mergeQuarantined(m_tables.quarantine, fingerprint, now + std::min<Core::Duration>(remaining.value_or(defaultRemaining), Limits::quarantineDuration));
    logRefusedParts(mergeSuspects(m_tables.crashSuspects, report->suspectParts, now), report->node);
    logRefusedRequests(mergeSuspects(m_tables.requestSuspects, report->suspectRequests, now), report->node);
    mergeLeavingServers(*report);
    if (m_settings.rolloutShare > 0)
        mergeRollouts(m_tables, *report, now);
    for (auto const& [team, amount] : Forward::newAdmissions(m_tables.peers, *report))
        Forward::chargeQuota(m_tables.quotas, team, amount, now);
    bool const isNew = report->scope == Forward::ReportScope::Node && !m_tables.peers.rows.contains(report->node);
    auto const node = report->node;
    auto const endpoint = report->endpoint;
    bool const isMerged = Forward::mergeReport(m_tables.peers, std::move(*report), unixTime, now);
    if (isMerged && isNew)
        Core::logEvent(Core::LogLevel::Info, "peer_heard", { { "peer", node }, { "endpoint", endpoint } });
    if (isMerged && m_reportListener)
        m_reportListener();
}

void PeerExchange::mergeLeavingServers(Forward::NodeReport const& report)
{
    for (auto const& id : Forward::mergeLeavingServers(m_tables.directory, report.leavingServers)) {
        (void)Routing::markLeaving(m_tables.servers, id, m_tables.directory.entries.at(id).server.incarnation);
        Core::logEvent(Core::LogLevel::Info, "server_leaving", { { "server", id }, { "peer", report.node }, { "servers_revision", m_tables.serversRevision.toString() } });
    }
}

void PeerExchange::mergeUsage(Forward::NodeReport const& report)
{
    if (report.scope == Forward::ReportScope::Node)
        Forward::mergeCounts(m_tables.usage, report.node, report.incarnation, report.usage, report.dataCentre);
    else
        Forward::mergeSums(m_tables.usage, report.scope == Forward::ReportScope::DataCentre ? report.dataCentre : std::string(), report.usage);
}

void PeerExchange::tick()
{
    auto const now = m_runtime.now();
    m_exchange.seeds.clear();
    for (auto const& address : m_settings.seedAddresses) {
        m_exchange.seeds.push_back({ address, m_settings.peerListen.port });
        Forward::addCandidate(m_tables.peers, m_exchange.seeds.back(), now);
    }
    auto const before = m_tables.peers.rows.size();
    Forward::expirePeers(m_tables.peers, now);
    if (m_tables.peers.rows.size() < before)
        Core::logEvent(Core::LogLevel::Info, "peer_gone", { { "peers", std::uint64_t(m_tables.peers.rows.size()) } });
    if (now - m_lastSentAt + tickTolerance < Forward::spreadInterval(m_tables.peers))
        return;
    broadcastReport();
}

void PeerExchange::broadcastReport()
{
    auto& peers = m_tables.peers;
    m_lastSentAt = m_runtime.now();
    auto const wasAggregated = peers.isAggregated;
    auto const aggregator = peers.aggregator;
    auto const outgoing = Forward::planReports(m_exchange, peers, m_tables.usage, m_reportSource(), m_lastSentAt);
    if (peers.isAggregated != wasAggregated || peers.aggregator != aggregator)
        Core::logEvent(Core::LogLevel::Info, "exchange_changed", { { "mode", peers.isAggregated ? "aggregated" : "direct" }, { "aggregator", peers.aggregator }, { "nodes", std::uint64_t(peers.knownNodes) } });
    for (auto const& report : outgoing) {
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(*report.bytes), toUdp(report.recipient, ignored), 0, ignored);
    }
}

}
