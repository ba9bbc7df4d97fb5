#pragma once

#include <LibCore/Endpoint.h>
#include <LibHTTP/MemoryBudget.h>
#include <LibHTTP/RequestBody.h>
#include <LibHTTP/WorkBudget.h>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <utility>
#include <vector>

namespace HTTP {

/// A client's connection to a server. Internal to LibHTTP.
struct Connection {
    Connection(boost::asio::ip::tcp::socket acceptedSocket, std::shared_ptr<MemoryBudget> budget);

    void close();

    /// Closes the connection without sending what its client has not read.
    void reset();

    /// For an idle connection. A client that still reads the last response may lose the rest of it to an immediate close.
    void endWhileIdle();

    /// Ends the operation in progress, or the next one.
    void interrupt();

    /// Waits for bytes and reads at most a number of them to an offset of the buffer, which it enlarges if necessary. Other tasks may use the
    /// buffer while this one waits, but not between the reception and the caller's next suspension. Fails with operation_aborted after
    /// interrupt().
    [[nodiscard]] Core::Awaitable<std::pair<boost::system::error_code, std::size_t>> receive(std::vector<char>& scratch, std::size_t offset, std::size_t maximumBytes);

    /// Reports what is held for the request to the budget. Returns false if that is too much.
    [[nodiscard]] bool updateMemory();

    /// The same, but waits for a moment if others have yielded and their memory is about to be free.
    [[nodiscard]] Core::Awaitable<bool> awaitMemory(Core::Runtime&);

    /// Lets the system receive more of a body of this length ahead, if there is room, until restoreReceiveQueue().
    void widenReceiveQueue(std::size_t bodyBytes);
    void restoreReceiveQueue();

    /// Waits as long as work of this connection has to. Returns false if that is too long, or if the connection has been interrupted.
    [[nodiscard]] Core::Awaitable<bool> waitForWork(Core::Runtime&, WorkState&, WorkLimits const&, double units);

    boost::asio::ip::tcp::socket socket;
    Core::Endpoint peer;
    std::size_t requests { 0 };
    /// Whether it is closed after a response that was sent whole, which the client may still be reading.
    bool needsLingeringClose { false };
    bool isInterrupted { false };
    /// Receptions since this connection last let others run.
    std::size_t consecutiveReceptions { 0 };
    /// Closes an idle connection after stopAccepting().
    Core::Timer lingerTimer;
    /// Received bytes that have not been parsed.
    std::string pending;
    BodySink body;
    /// What the fields of the request take, with the copies that its handler makes of them.
    std::size_t fieldBytes { 0 };
    /// What the system may receive beyond the usual limit.
    std::size_t widenedBytes { 0 };
    MemoryHolder memory;

private:
    std::size_t yield(YieldScope);
};

}
