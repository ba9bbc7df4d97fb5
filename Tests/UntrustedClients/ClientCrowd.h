#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace UntrustedClients {

/// What each client of a crowd sends before it keeps its connection open without reading.
struct ClientScript {
    std::string head;
    /// Sent `repetitions` times after the head.
    std::string piece;
    std::size_t repetitions { 1 };
    /// Sent last.
    std::string tail;
    /// Between two pieces.
    Core::Duration interval {};
    /// Of the receive buffer, if not 0; small, so that responses wait at the process under test.
    int receiveBufferBytes { 0 };
};

/// Clients that send what a script says and read nothing. They keep their connections until the crowd is destroyed. Runs on the test's
/// event loop.
class ClientCrowd {
public:
    explicit ClientCrowd(Core::Runtime&);

    /// Starts clients that send to the endpoint.
    void add(std::size_t clients, Core::Endpoint const&, ClientScript);

    /// Bytes that the system has taken from all clients.
    [[nodiscard]] std::size_t bytesSent() const { return m_state->bytesSent; }

    [[nodiscard]] std::size_t size() const { return m_state->sockets.size(); }

private:
    struct State {
        std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> sockets;
        std::size_t bytesSent { 0 };
    };

    // The coroutines may outlive the crowd.
    [[nodiscard]] static Core::Awaitable<void> run(Core::Runtime&, std::shared_ptr<State>, boost::asio::ip::tcp::socket&, Core::Endpoint, std::shared_ptr<ClientScript const>);

    Core::Runtime& m_runtime;
    std::shared_ptr<State> m_state { std::make_shared<State>() };
};

}
