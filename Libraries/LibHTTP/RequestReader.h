#pragma once

#include <LibCore/ErrorKind.h>
#include <LibHTTP/Connection.h>
#include <LibHTTP/Server.h>
#include <optional>
#include <vector>

namespace HTTP {

/// How the reading of a request ended.
struct ReceivedRequest {
    /// Empty if no request arrived that the handler may see.
    std::optional<Request> request;
    unsigned version { 11 };
    /// Whether the connection can be used for a further request.
    bool keepsAlive { false };
    /// The refusal without a request; empty if the client has closed the connection.
    std::optional<Core::Error> error;
    RequestShape shape;
};

/// Reads one request of a connection. Internal to LibHTTP. The scratch buffer is shared by all connections of a server, so that an idle or slow
/// one holds only the bytes of an unfinished line. Used from the runtime's thread only.
class RequestReader {
public:
    /// Precondition: all references outlive the reader.
    RequestReader(Core::Runtime&, ServerLimits const&, ServerOptions const&, std::vector<char>& scratch, WorkState&, Connection&);

    /// Precondition: the connection has received the first bytes of the request or has pending ones.
    [[nodiscard]] Core::Awaitable<ReceivedRequest> read();

private:
    [[nodiscard]] Core::Awaitable<boost::system::error_code> readHead();
    [[nodiscard]] Core::Awaitable<boost::system::error_code> readBody();
    /// Parses pending bytes, and then what the connection receives, once.
    [[nodiscard]] Core::Awaitable<boost::system::error_code> readMore(std::size_t maximumBytes);
    [[nodiscard]] Core::Awaitable<boost::system::error_code> sendContinue();
    [[nodiscard]] std::optional<Core::Error> requestErrorFor(boost::system::error_code) const;
    /// Whether the rest of the body is left unread.
    [[nodiscard]] bool leavesBodyOut();
    /// Reports what is held; fails with not_enough_memory.
    [[nodiscard]] Core::Awaitable<boost::system::error_code> awaitMemory();
    void takeHead();
    [[nodiscard]] std::size_t expectedBodyBytes() const;
    /// Parses bytes and keeps the rest of them as the pending ones.
    [[nodiscard]] boost::system::error_code parse(char const* bytes, std::size_t length);
    /// Counts the work for the chunks of a body since the last call, and waits for it.
    [[nodiscard]] Core::Awaitable<bool> waitForChunks();

    Core::Runtime& m_runtime;
    ServerLimits const& m_limits;
    ServerOptions const& m_options;
    std::vector<char>& m_scratch;
    WorkState& m_work;
    Connection& m_connection;
    std::size_t m_parsedFieldBytes { 0 };
    RequestParser m_parser;
    Request m_request;
    RequestShape m_shape;
    /// The pieces and bytes of the body whose work has been counted.
    std::size_t m_countedPieces { 0 };
    std::size_t m_countedBytes { 0 };
    bool m_expectsContinue { false };
    /// Whether the pending bytes are not enough to continue.
    bool m_needsMore { false };
    bool m_timedOut { false };
};

}
