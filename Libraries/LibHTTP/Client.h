#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/Message.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace HTTP {

struct ClientLimits {
    std::size_t maximumHeaderBytes { 32 * 1024 };
    std::size_t maximumBodyBytes { 16 * 1024 * 1024 };
    Core::Duration connectTimeout { std::chrono::seconds(1) };
    std::size_t idleConnectionsPerEndpoint { 64 };
    /// Over all endpoints; the connection that is idle for the longest time is closed first.
    std::size_t idleConnections { 512 };
    /// Maximum idle time of a pooled connection; a shorter Keep-Alive timeout of the peer takes precedence.
    Core::Duration idleTimeout { std::chrono::seconds(20) };
    /// A connection whose sent data stays unacknowledged for this time is closed; zero keeps the system's default. A peer that reads nothing, but
    /// whose system answers, keeps its connection. Where the system does not provide a connection's counters (TCP_INFO), TCP_USER_TIMEOUT
    /// decides, which also closes the connection of such a peer.
    std::chrono::milliseconds unacknowledgedTimeout { 0 };
    /// What the system may have received on a connection before it is read; 0 for what the system allows. A response for which
    /// ResponseStream::expectLongBody() was called gets more.
    std::size_t receiveQueueBytes { 0 };
    /// In use and idle. Without another one that is idle, an exchange that needs a new connection fails with BackendUnreachable.
    std::size_t maximumConnections { SIZE_MAX };

    bool operator==(ClientLimits const&) const = default;
};

/// Byte counts include headers, but not the overhead of TCP and lower layers.
struct ClientTraffic {
    std::uint64_t requests { 0 };
    std::uint64_t newConnections { 0 };
    std::uint64_t sentBytes { 0 };
    std::uint64_t receivedBytes { 0 };

    bool operator==(ClientTraffic const&) const = default;
};

/// Whether a request may use an idle connection.
enum class ConnectionUse {
    /// An idle connection may be used. If it closes before any byte of a response arrives, the request is sent again;
    /// only for requests that may be executed twice.
    Pooled,
    /// An idle connection may be used if its idle time is well below the peer's timeout. The request is never sent twice.
    PooledNoRetry,
    /// A new connection is always opened. The request is never sent twice.
    NewConnection,
};

/// What an endpoint does with a new connection.
enum class ConnectionAttempt {
    Accepted,
    /// No process listens there.
    Refused,
    /// Not accepted for another reason, or not in time.
    Unanswered,
};

/// How to handle a response with neither Content-Length nor chunked encoding.
enum class UnframedResponse {
    Refuse,
    /// The body ends where the peer closes the connection; a reset makes the response incomplete.
    ReadUntilClose,
};

/// What happens to the connection if a response's body brings no byte before the deadline of a read.
enum class AfterReadDeadline {
    CloseConnection,
    /// The body can be read further.
    KeepConnection,
};

/// Cancels an exchange in progress, for example when the client it is made for disconnects. Not thread safe.
class Cancellation {
public:
    [[nodiscard]] bool isCancelled() const { return m_cancelled; }

    void cancel()
    {
        m_cancelled = true;
        if (m_abortCallback)
            m_abortCallback();
    }

    /// Sets the callback that aborts the step in progress; empty between steps. Called by Client only.
    void setAbortCallback(std::function<void()> callback) { m_abortCallback = std::move(callback); }

private:
    std::function<void()> m_abortCallback;
    bool m_cancelled { false };
};

/// Returns whether a response belongs to the request, for peers that may send late responses to earlier requests.
using ResponsePredicate = std::function<bool(Headers const&)>;

struct ExchangeOptions {
    ConnectionUse use { ConnectionUse::Pooled };
    UnframedResponse unframed { UnframedResponse::Refuse };
    /// Responses for which this returns false are read and discarded. Accepts all if empty.
    ResponsePredicate matchesRequest;
    /// May be null. Precondition: outlives the exchange. A cancelled exchange fails with Cancelled.
    Cancellation* cancellation { nullptr };
};

/// A response whose body is read incrementally. Destroying it before the end of the body closes the connection. Not thread safe.
class ResponseStream {
public:
    virtual ~ResponseStream() = default;

    [[nodiscard]] virtual unsigned status() const = 0;
    [[nodiscard]] virtual Headers const& headers() const = 0;

    /// Returns the next bytes of the body, or an empty string after its last byte. Fails with BackendAnswerInvalid if the
    /// connection closes before the end of the body, and with DeadlineExceeded; both with RunState::Unknown.
    [[nodiscard]] virtual Core::Awaitable<std::optional<std::string>> readSome(Core::MonotonicTime deadline, AfterReadDeadline, Core::Error&) = 0;
    [[nodiscard]] Core::Awaitable<std::optional<std::string>> readSome(Core::MonotonicTime deadline, Core::Error& error) { return readSome(deadline, AfterReadDeadline::CloseConnection, error); }

    /// Whether the last byte of the body was read.
    [[nodiscard]] virtual bool isComplete() const = 0;

    /// Lets the system receive more ahead until the end of the body, which the caller reads as it arrives.
    virtual void expectLongBody() { }
};

/// An HTTP/1.1 client with a pool of idle connections per endpoint. A connection whose exchange was not completed, or that
/// has unread bytes, is closed and never reused, so a response cannot be returned for the wrong request. Not thread safe.
/// Failures are BackendUnreachable with RunState::NotRun if no byte of the request was written, and else BackendFailed,
/// BackendAnswerInvalid or DeadlineExceeded with RunState::Unknown. A deadline that passes before the
/// first byte is DeadlineExceeded with RunState::NotRun. If the request had been written to an idle connection that then closed,
/// the run state is Unknown in either case.
class Client {
public:
    Client(Core::Runtime&, ClientLimits);
    ~Client();

    /// Sends a request and returns the complete response, whatever its status. Fails with BackendAnswerInvalid if the response
    /// has neither Content-Length nor chunked encoding.
    [[nodiscard]] Core::Awaitable<std::optional<Response>> send(Core::Endpoint, Request, ConnectionUse, Core::MonotonicTime deadline, Core::Error&);

    /// Sends a request and returns once the response's headers have arrived. A Host header of the request is kept.
    [[nodiscard]] Core::Awaitable<std::unique_ptr<ResponseStream>> openStream(Core::Endpoint, Request, ConnectionUse, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::unique_ptr<ResponseStream>> openStream(Core::Endpoint, Request, ExchangeOptions, Core::MonotonicTime deadline, Core::Error&);

    /// Opens a connection, which is kept for later requests if it is accepted.
    [[nodiscard]] Core::Awaitable<ConnectionAttempt> connect(Core::Endpoint, Core::MonotonicTime deadline);

    /// Closes the idle connections to an endpoint, for example one that was removed.
    void closeIdleConnections(Core::Endpoint const&);

    /// The number of idle connections, over all endpoints.
    [[nodiscard]] std::size_t idleConnections() const;

    /// The traffic of this client since its creation.
    [[nodiscard]] ClientTraffic traffic() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
