#include <UntrustedClients/ClientCrowd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace UntrustedClients {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

ClientCrowd::ClientCrowd(Core::Runtime& runtime)
    : m_runtime(runtime)
{
}

void ClientCrowd::add(std::size_t clients, Core::Endpoint const& endpoint, ClientScript script)
{
    auto const shared = std::make_shared<ClientScript const>(std::move(script));
    for (std::size_t i = 0; i < clients; ++i) {
        auto& socket = *m_state->sockets.emplace_back(std::make_unique<tcp::socket>(m_runtime.context()));
        m_runtime.spawn(run(m_runtime, m_state, socket, endpoint, shared));
    }
}

static Core::Awaitable<bool> sendAll(tcp::socket& socket, std::string const& bytes, std::size_t& total)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto [error, length] = co_await socket.async_write_some(asio::buffer(bytes) + sent, useTuple);
        if (error)
            co_return false;
        sent += length;
        total += length;
    }
    co_return true;
}

Core::Awaitable<void> ClientCrowd::run(Core::Runtime& runtime, std::shared_ptr<State> state, tcp::socket& socket, Core::Endpoint endpoint, std::shared_ptr<ClientScript const> script)
{
    socket.open(tcp::v4());
    if (script->receiveBufferBytes > 0)
        socket.set_option(tcp::socket::receive_buffer_size(script->receiveBufferBytes));
    auto [connectError] = co_await socket.async_connect({ asio::ip::make_address(endpoint.address), endpoint.port }, useTuple);
    if (connectError)
        co_return;
    bool isOpen = co_await sendAll(socket, script->head, state->bytesSent);
    for (std::size_t i = 0; isOpen && i < script->repetitions; ++i) {
        isOpen = co_await sendAll(socket, script->piece, state->bytesSent);
        if (script->interval > Core::Duration::zero())
            co_await runtime.sleepFor(script->interval);
    }
    if (isOpen)
        (void)co_await sendAll(socket, script->tail, state->bytesSent);
}

}
