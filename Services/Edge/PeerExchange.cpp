#include <Edge/PeerExchange.h>

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
    Forward::mergeCounts(m_tables.usage, report->node, report->incarnation, report->usage);
    for (auto const fingerprint : report->quarantined)
        Limits::mergeQuarantined(m_tables.quarantine, fingerprint, now + std::chrono::minutes(1));
    for (auto const& [team, amount] : Forward::newAdmissions(m_tables.peers, *report))
        Forward::chargeQuota(m_tables.quotas, team, amount);
    bool const isNew = !m_tables.peers.rows.contains(report->node);
    auto const node = report->node;
    auto const endpoint = report->endpoint;
    bool const isMerged = Forward::mergeReport(m_tables.peers, std::move(*report), unixTime, now);
    if (isMerged && isNew)
        Core::logEvent(Core::LogLevel::Info, "peer_heard", { { "peer", node }, { "endpoint", endpoint } });
    if (isMerged && m_reportListener)
        m_reportListener();
}

void PeerExchange::tick()
{
    auto const now = m_runtime.now();
    for (auto const& address : m_settings.seedAddresses)
        Forward::addCandidate(m_tables.peers, { address, m_settings.peerListen.port }, now);
    auto const before = m_tables.peers.rows.size();
    Forward::expirePeers(m_tables.peers, now);
    if (m_tables.peers.rows.size() < before)
        Core::logEvent(Core::LogLevel::Info, "peer_gone", { { "peers", std::uint64_t(m_tables.peers.rows.size()) } });
    if (now - m_lastSentAt + tickTolerance < Forward::reportInterval(m_tables.peers.rows.size()))
        return;
    broadcastReport();
}

void PeerExchange::broadcastReport()
{
    auto const now = m_runtime.now();
    auto report = m_reportSource();
    auto const brief = Forward::encodeReport(Forward::briefReport(report, m_tables.peers.own));
    auto const full = Forward::encodeReport(report);
    m_tables.peers.own = std::move(report);
    m_lastSentAt = now;
    std::erase_if(m_fullReportsSentAt, [&](auto const& item) { return !m_tables.peers.candidates.contains(item.first); });
    auto const fullTargets = Forward::fullReportTargets(m_tables.peers, m_fullReportsSentAt, full.size(), now);
    for (auto const& [endpoint, mentionedAt] : m_tables.peers.candidates) {
        if (endpoint == m_settings.peerListen)
            continue;
        bool const isFull = fullTargets.contains(endpoint);
        if (isFull)
            m_fullReportsSentAt[endpoint] = now;
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(isFull ? full : brief), toUdp(endpoint, ignored), 0, ignored);
    }
}

}
