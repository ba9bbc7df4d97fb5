#pragma once

#include <Edge/EdgeSettings.h>
#include <Edge/EdgeTables.h>
#include <LibForward/NodeExchange.h>
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace Edge {

/// Sends this node's reports to its peers as datagrams and merges the reports that it receives. Used from the runtime's thread only.
class PeerExchange {
public:
    using ReportSource = std::function<Forward::NodeReport()>;

    /// Precondition: all references outlive the exchange, which outlives its tasks.
    PeerExchange(Core::Runtime&, EdgeTables&, EdgeSettings const&, ReportSource);

    /// Binds the port and starts to receive. InvalidSetting if the port cannot be bound.
    [[nodiscard]] bool start(Core::Error&);

    /// Removes peers that have been silent too long, and broadcasts a report if the report interval has elapsed.
    void tick();

    /// Sends this node's report, and the sums for which it is responsible, to the nodes that need them.
    void broadcastReport();

    /// Sets the function that is called after a peer's report was merged.
    void onReport(std::function<void()> listener) { m_reportListener = std::move(listener); }

private:
    [[nodiscard]] Core::Awaitable<void> receive();
    void handleDatagram(std::string_view datagram);
    void mergeLeavingServers(Forward::NodeReport const&);
    void mergeUsage(Forward::NodeReport const&);

    Core::Runtime& m_runtime;
    EdgeTables& m_tables;
    EdgeSettings const& m_settings;
    ReportSource m_reportSource;
    std::function<void()> m_reportListener;
    Core::MonotonicTime m_lastSentAt {};
    Forward::NodeExchange m_exchange;
    boost::asio::ip::udp::socket m_socket;
    std::array<char, 65536> m_buffer {};
};

}
