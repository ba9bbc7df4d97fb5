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
    /// Longest idle time of a connection whose peer announces none (Keep-Alive).
    Core::Duration idleTimeout { std::chrono::seconds(20) };
    /// Sent bytes that stay unacknowledged for this time end the connection; zero leaves it to the system.
    std::chrono::milliseconds unacknowledgedTimeout { 0 };

    bool operator==(ClientLimits const&) const = default;
};

/// Bytes of requests and responses with their headers, without the framing of lower layers.
struct ClientTraffic {
    std::uint64_t requests { 0 };
    std::uint64_t newConnections { 0 };
    std::uint64_t sentBytes { 0 };
    std::uint64_t receivedBytes { 0 };

    bool operator==(ClientTraffic const&) const = default;
};

/// Whether a request may use an idle connection.
enum class ConnectionUse {
    /// An idle connection may be used. If it turns out to have been closed before any byte of an answer arrived, the request
    /// is sent once more on a new connection; only for requests that may be executed twice.
    Pooled,
    /// An idle connection may be used if it is well within the time that the peer keeps it open. Never sent twice.
    PooledNoRetry,
    /// Always a new connection, and never sent twice.
    NewConnection,
};

/// What to do with a response that has neither Content-Length nor chunks.
enum class UnframedResponse {
    Refuse,
    /// The body ends where the peer closes the connection; a reset is an incomplete response.
    ReadUntilClose,
};

/// Ends one exchange from outside, for example when its caller has left. Not thread safe.
class Cancellation {
public:
    [[nodiscard]] bool isCancelled() const { return m_cancelled; }

    void cancel()
    {
        m_cancelled = true;
        if (m_abortCallback)
            m_abortCallback();
    }

    /// Sets what ends the step in progress; an empty function between steps. For the client's use.
    void setAbortCallback(std::function<void()> abort) { m_abortCallback = std::move(abort); }

private:
    std::function<void()> m_abortCallback;
    bool m_cancelled { false };
};

/// Tells whether a response belongs to the request, for peers that may send responses to earlier requests late.
using ResponsePredicate = std::function<bool(Headers const&)>;

struct ExchangeOptions {
    ConnectionUse use { ConnectionUse::Pooled };
    UnframedResponse unframed { UnframedResponse::Refuse };
    /// Responses for which it returns false are read and discarded. Accepts all if empty.
    ResponsePredicate matchesRequest;
    /// May be null. Precondition: outlives the exchange. A cancelled exchange fails with Cancelled.
    Cancellation* cancellation { nullptr };
};

/// An answer whose body is read piece by piece. Destroying it before the end closes the connection. Not thread safe.
class ResponseStream {
public:
    virtual ~ResponseStream() = default;

    [[nodiscard]] virtual unsigned status() const = 0;
    [[nodiscard]] virtual Headers const& headers() const = 0;

    /// Returns the next bytes of the body, or an empty string after its last byte. A connection that ends before the end of
    /// the body is BackendAnswerInvalid, a deadline that passes is DeadlineExceeded, both with RunState::Unknown.
    [[nodiscard]] virtual Core::Awaitable<std::optional<std::string>> readSome(Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Whether the last byte of the body was read.
    [[nodiscard]] virtual bool isComplete() const = 0;
};

/// An HTTP/1.1 client with a pool of idle connections per endpoint. A connection whose exchange was not completed, or that
/// has unread bytes, is closed and never reused, so an answer cannot reach the wrong request. Not thread safe.
/// Failures are BackendUnreachable with RunState::NotRun if no byte of the request was written, and else BackendFailed,
/// BackendAnswerInvalid or DeadlineExceeded with RunState::Unknown. A deadline before the first byte is DeadlineExceeded with
/// RunState::NotRun. Both are RunState::Unknown if the request had been written to an idle connection that then closed.
class Client {
public:
    Client(Core::Runtime&, ClientLimits);
    ~Client();

    /// Sends a request and returns the whole answer, whatever its status. An answer whose end cannot be told (neither
    /// Content-Length nor chunked) is refused as BackendAnswerInvalid.
    [[nodiscard]] Core::Awaitable<std::optional<Response>> send(Core::Endpoint, Request, ConnectionUse, Core::MonotonicTime deadline, Core::Error&);

    /// Sends a request and returns after the answer's headers. A Host header of the request is kept.
    [[nodiscard]] Core::Awaitable<std::unique_ptr<ResponseStream>> openStream(Core::Endpoint, Request, ConnectionUse, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::unique_ptr<ResponseStream>> openStream(Core::Endpoint, Request, ExchangeOptions, Core::MonotonicTime deadline, Core::Error&);

    /// Closes the idle connections to an endpoint, for example one that has left.
    void closeIdleConnections(Core::Endpoint const&);

    /// What this client sent and received so far.
    [[nodiscard]] ClientTraffic traffic() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
