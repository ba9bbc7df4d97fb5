#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibPeer/PeerHandler.h>
#include <LibPeer/PeerTraffic.h>
#include <memory>

namespace Peer {

/// Accepts calls from other nodes. Runs KJ's event loop on a dedicated thread; the handler runs on the runtime's thread.
/// Used from the runtime's thread only. The destructor closes all connections and joins the thread; it may run before or
/// after the io_context stopped. Calls that are still in the handler continue, and their replies are dropped.
class PeerServer {
public:
    /// Preconditions: runtime and handler outlive the server and every call the handler has not finished.
    PeerServer(Core::Runtime&, PeerHandler&);
    PeerServer(PeerServer const&) = delete;
    PeerServer& operator=(PeerServer const&) = delete;
    ~PeerServer();

    /// Listens on the endpoint; port 0 chooses a free one. Blocks until the port is bound, which takes no network traffic.
    /// Fails with InvalidSetting if the address cannot be bound. Precondition: not listening yet.
    [[nodiscard]] bool listen(Core::Endpoint const&, Core::Error&);

    /// The port in use; 0 before listen() succeeded.
    [[nodiscard]] std::uint16_t port() const;

    /// The traffic of the calls received so far. Thread safe.
    [[nodiscard]] PeerTraffic traffic(TrafficClass) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
