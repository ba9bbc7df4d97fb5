#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/Message.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace HTTP {

/// Bounds on what one connection may ask of the server.
struct ServerLimits {
    std::size_t maximumHeaderBytes { 16 * 1024 };
    std::size_t maximumBodyBytes { 4 * 1024 * 1024 };
    /// From the first byte of a request to the last of its headers.
    Core::Duration headerTimeout { std::chrono::seconds(30) };
    /// From the first byte of a request to its last.
    Core::Duration requestTimeout { std::chrono::seconds(30) };
    /// Between two requests of one connection.
    Core::Duration idleTimeout { std::chrono::seconds(60) };
    std::size_t maximumConnections { 4096 };

    bool operator==(ServerLimits const&) const = default;
};

/// Sends the answer to one request: either send() once, or begin(), write() any number of times and finish().
/// Valid only inside the handler call. Not thread safe. Each method returns false once the caller's connection is gone.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    /// Sends a whole response with its Content-Length.
    [[nodiscard]] virtual Core::Awaitable<bool> send(Response) = 0;

    /// Sends status and headers; the body follows in chunks (RFC 9112, section 7.1).
    [[nodiscard]] virtual Core::Awaitable<bool> begin(unsigned status, Headers) = 0;

    /// Sends one chunk of the body. Precondition: begin() was called and finish() was not.
    [[nodiscard]] virtual Core::Awaitable<bool> write(std::string bytes) = 0;

    /// Ends a chunked body. A handler that returns after begin() without finish() makes the server close the connection,
    /// which the caller sees as a truncated answer.
    [[nodiscard]] virtual Core::Awaitable<bool> finish() = 0;

    /// Whether send() or begin() was called.
    [[nodiscard]] virtual bool started() const = 0;

    /// Calls the function once if the caller closes or resets the connection before the handler has returned. Called at
    /// most once for each request. An empty function ends the observation.
    virtual void onPeerClosed(std::function<void()>) = 0;

    /// Makes the response the last one of its connection. Precondition: neither send() nor begin() was called.
    virtual void closeAfterResponse() = 0;

    /// Closes the connection at once; a write in progress returns false.
    virtual void abort() = 0;

    /// The caller's IP number and port.
    [[nodiscard]] virtual Core::Endpoint const& peer() const = 0;
};

using Handler = std::function<Core::Awaitable<void>(Request const&, ResponseWriter&)>;

/// An HTTP/1.1 server on the runtime's event loop. Malformed, oversized or slow requests get a problem details answer and
/// their connection is closed. All methods run on the runtime's thread.
class Server {
public:
    /// The server starts to listen in listen(). The runtime must outlive it.
    Server(Core::Runtime&, ServerLimits, Handler);
    ~Server();

    /// Binds and begins to accept. Port 0 lets the kernel choose. Returns the bound endpoint, or InvalidSetting.
    [[nodiscard]] std::optional<Core::Endpoint> listen(Core::Endpoint const&, Core::Error&);

    /// Replaces the limits; they apply from the next request of each connection on.
    void setLimits(ServerLimits);

    /// Makes each further response the last one of its connection, while new connections are still accepted.
    void closeAfterResponses();

    /// Stops accepting. Connections that were established before still get an answer to one request, if it arrives within
    /// 250 ms, and are closed after it.
    void stopAccepting();

    /// Waits until no request is in progress and, after stopAccepting(), no connection is open, or the deadline has come. Returns false if the deadline came first.
    [[nodiscard]] Core::Awaitable<bool> waitUntilDrained(Core::MonotonicTime deadline);

    /// Closes every connection at once.
    void closeAllConnections();

    /// The number of requests whose handler has not returned.
    [[nodiscard]] std::size_t requestsInProgress() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
