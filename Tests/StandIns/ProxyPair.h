#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace StandIns {

/// The fault switches of a pair; docs/stand-ins.md describes them.
struct ProxyFaults {
    bool cut { false };
    std::uint64_t delayMs { 0 };
    bool freezeToTarget { false };
    bool freezeFromTarget { false };
    std::uint64_t truncateAfterBytes { 0 };
    std::uint64_t dropAnswers { 0 };
};

struct ProxyRecord {
    std::uint64_t connections { 0 };
    std::uint64_t bytesToTarget { 0 };
    std::uint64_t bytesFromTarget { 0 };
};

/// A listening endpoint of the fault proxy and the target it forwards to. Used on the thread of the runtime only.
class ProxyPair {
public:
    ProxyPair(Core::Runtime&, Core::Endpoint target);
    ~ProxyPair();

    /// Binds and starts to accept connections; port 0 lets the kernel choose. Returns the bound endpoint, or fails with
    /// InvalidSetting.
    [[nodiscard]] std::optional<Core::Endpoint> listen(Core::Endpoint const&, Core::Error&);

    /// Replaces all switches, also for open connections.
    void setFaults(ProxyFaults const&);

    [[nodiscard]] ProxyRecord const& record() const { return m_record; }

private:
    struct Connection;
    struct Direction;

    [[nodiscard]] bool openAcceptor(boost::system::error_code&);
    [[nodiscard]] Core::Awaitable<void> acceptLoop();
    [[nodiscard]] Core::Awaitable<void> serve(std::shared_ptr<Connection>);
    [[nodiscard]] Core::Awaitable<void> readFromSource(std::shared_ptr<Connection>, Direction&);
    [[nodiscard]] Core::Awaitable<void> writeToSink(std::shared_ptr<Connection>, Direction&);
    [[nodiscard]] bool isFrozen(Direction const&) const;

    Core::Runtime& m_runtime;
    Core::Endpoint m_target;
    ProxyFaults m_faults;
    ProxyRecord m_record;
    boost::asio::ip::tcp::endpoint m_local;
    /// Bound but not listening. Reserves the port while the acceptor is closed, when the pair is cut and refuses connections.
    boost::asio::ip::tcp::socket m_reservation;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Connection>> m_connections;
};

}
