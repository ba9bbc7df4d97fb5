#pragma once

#include <LibHTTP/Connection.h>
#include <LibHTTP/Server.h>

namespace HTTP {

class PeerObserver;

/// Sends the response to one request of a connection. Internal to LibHTTP.
class ServerResponseWriter final : public ResponseWriter {
public:
    /// Precondition: the connection outlives the writer.
    ServerResponseWriter(Core::Runtime&, Connection&, Core::Duration writeTimeout, unsigned version, std::string method);
    ~ServerResponseWriter() override;
    ServerResponseWriter(ServerResponseWriter const&) = delete;
    ServerResponseWriter& operator=(ServerResponseWriter const&) = delete;

    Core::Awaitable<bool> send(Response) override;
    Core::Awaitable<bool> begin(unsigned status, Headers) override;
    Core::Awaitable<bool> write(std::string bytes) override;
    Core::Awaitable<bool> finish() override;
    bool started() const override { return m_started; }
    void onPeerClosed(std::function<void()> callback) override;
    void closeAfterResponse() override { m_keepAlive = false; }
    void abort() override { m_connection.close(); }
    bool reserve(std::size_t bytes) override { return m_connection.memory.resizeResponse(bytes); }
    Core::Awaitable<bool> awaitReservation(std::size_t bytes, Core::MonotonicTime deadline, std::function<bool()> isCancelled) override { return m_connection.memory.awaitResponse(bytes, deadline, std::move(isCancelled)); }
    Core::Endpoint const& peer() const override { return m_connection.peer; }

    void setKeepAlive(bool keepAlive) { m_keepAlive = keepAlive; }
    [[nodiscard]] bool keepsAlive() const { return m_keepAlive; }
    [[nodiscard]] bool isComplete() const { return m_complete; }

private:
    class SendingScope;

    void stopObserving();
    /// Resets the connection if its client reads nothing until the timer is destroyed.
    [[nodiscard]] Core::Timer limitTime();
    /// Sends all bytes.
    [[nodiscard]] Core::Awaitable<bool> sendAll(std::string const& bytes);

    Core::Runtime& m_runtime;
    std::shared_ptr<PeerObserver> m_observer;
    Connection& m_connection;
    Core::Duration m_writeTimeout;
    unsigned m_version;
    std::string m_method;
    bool m_keepAlive { true };
    bool m_started { false };
    bool m_complete { false };
};

}
