#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/MemoryBudget.h>
#include <LibHTTP/Message.h>
#include <LibHTTP/WorkBudget.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace HTTP {

/// Limits on requests and connections.
struct ServerLimits {
    std::size_t maximumHeaderBytes { 16 * 1024 };
    std::size_t maximumBodyBytes { 4 * 1024 * 1024 };
    /// From the first byte of a request to the last of its headers.
    Core::Duration headerTimeout { std::chrono::seconds(30) };
    /// From the first byte of a request to its last.
    Core::Duration requestTimeout { std::chrono::seconds(30) };
    /// Between two requests of one connection.
    Core::Duration idleTimeout { std::chrono::seconds(60) };
    /// Without any byte that the client reads of a response.
    Core::Duration writeTimeout { std::chrono::seconds(30) };
    std::size_t maximumConnections { 4096 };

    bool operator==(ServerLimits const&) const = default;
};

/// Sends the response to one request: either send() once, or begin(), write() any number of times and finish().
/// Valid only during the handler call. Not thread safe. Each method returns false once the client's connection is closed.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    /// Sends a complete response with its Content-Length.
    [[nodiscard]] virtual Core::Awaitable<bool> send(Response) = 0;

    /// Sends status and headers; the body follows in chunks (RFC 9112, section 7.1).
    [[nodiscard]] virtual Core::Awaitable<bool> begin(unsigned status, Headers) = 0;

    /// Sends one chunk of the body. Precondition: begin() was called and finish() was not.
    [[nodiscard]] virtual Core::Awaitable<bool> write(std::string bytes) = 0;

    /// Ends a chunked body. A handler that returns after begin() without finish() makes the server close the connection,
    /// which the client sees as a truncated response.
    [[nodiscard]] virtual Core::Awaitable<bool> finish() = 0;

    /// Whether send() or begin() was called.
    [[nodiscard]] virtual bool started() const = 0;

    /// Calls the function, at most once for each request, if the client closes or resets the connection before the handler
    /// has returned. An empty function removes the callback.
    virtual void onPeerClosed(std::function<void()>) = 0;

    /// Closes the connection after this response. Precondition: neither send() nor begin() was called.
    virtual void closeAfterResponse() = 0;

    /// Closes the connection immediately; a write in progress returns false.
    virtual void abort() = 0;

    /// Counts bytes that the handler holds for the response until it sends it, in place of those counted before. Returns false if there is no
    /// memory for them.
    [[nodiscard]] virtual bool reserve([[maybe_unused]] std::size_t bytes) { return true; }

    /// The same, but waits until there is memory for them, the deadline passes or `isCancelled` returns true.
    [[nodiscard]] virtual Core::Awaitable<bool> awaitReservation([[maybe_unused]] std::size_t bytes, [[maybe_unused]] Core::MonotonicTime deadline, [[maybe_unused]] std::function<bool()> isCancelled) { co_return true; }

    /// The client's IP address and port.
    [[nodiscard]] virtual Core::Endpoint const& peer() const = 0;
};

using Handler = std::function<Core::Awaitable<void>(Request const&, ResponseWriter&)>;

/// Whether the handler wants the body of a request, given its head. Called only for bodies that are long or of unknown length; the handler may
/// also get a request with the body that was not wanted.
enum class BodyDecision {
    Keep,
    Discard,
};
using HeadHandler = std::function<BodyDecision(Request const& head)>;

/// What a server shares with others, or leaves out.
struct ServerOptions {
    /// Null for one of its own without limits.
    std::shared_ptr<MemoryBudget> budget;
    /// Empty if all bodies are wanted.
    HeadHandler headHandler;
    /// Units of work of each request beside those of its shape.
    double requestWork { 0 };
    WorkLimits work;
};

/// An HTTP/1.1 server on the runtime's event loop. Malformed, oversized or slow requests get a problem details response
/// and their connection is closed. Requests whose body the memory budget refuses, or whose work would have to wait for too long, reach the handler
/// without their body (BodyState::Refused). All methods run on the runtime's thread.
class Server {
public:
    /// Does not listen until listen() is called. The runtime must outlive the server.
    Server(Core::Runtime&, ServerLimits, Handler, ServerOptions = {});
    ~Server();

    /// Binds and starts accepting connections. With port 0, the kernel chooses the port. Returns the bound endpoint; fails with
    /// InvalidSetting.
    [[nodiscard]] std::optional<Core::Endpoint> listen(Core::Endpoint const&, Core::Error&);

    /// Replaces the limits; they apply from the next request of each connection on.
    void setLimits(ServerLimits);

    /// Closes each connection after its next response; new connections are still accepted.
    void closeAfterResponses();

    /// Stops accepting connections. Each established connection is closed after one more request, or if none arrives within
    /// 250 ms, or 1 s on a new connection.
    void stopAccepting();

    /// Waits until no request is in progress and, after stopAccepting(), no connection is open. Returns false if requests are
    /// still in progress at the deadline.
    [[nodiscard]] Core::Awaitable<bool> waitUntilDrained(Core::MonotonicTime deadline);

    /// Stops accepting and closes every connection immediately.
    void closeAllConnections();

    /// The number of requests whose handler has not returned.
    [[nodiscard]] std::size_t requestsInProgress() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
