#include <LibHTTP/Connection.h>

#include <LibHTTP/SocketBuffers.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace HTTP {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

Connection::Connection(tcp::socket acceptedSocket, std::shared_ptr<MemoryBudget> budget)
    : socket(std::move(acceptedSocket))
    , memory(std::move(budget), [this](YieldScope scope) { return yield(scope); })
{
    body.memory = &memory;
}

void Connection::close()
{
    boost::system::error_code ignored;
    socket.close(ignored);
}

void Connection::reset()
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// Whether the client's system has not acknowledged all bytes that were sent.
static bool hasBytesUnderWay(tcp::socket& socket)
{
    int unacknowledgedBytes = 0;
    return ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledgedBytes) == 0 && unacknowledgedBytes > 0;
}

void Connection::endWhileIdle()
{
    if (!hasBytesUnderWay(socket))
        return close();
    needsLingeringClose = true;
    boost::system::error_code ignored;
    socket.cancel(ignored);
}

void Connection::interrupt()
{
    isInterrupted = true;
    boost::system::error_code ignored;
    socket.cancel(ignored);
}

Core::Awaitable<std::pair<boost::system::error_code, std::size_t>> Connection::receive(std::vector<char>& scratch, std::size_t offset, std::size_t maximumBytes)
{
    // A client that sends as fast as it is read must not keep the others waiting.
    static constexpr std::size_t maximumConsecutiveReceptions = 4;
    while (true) {
        if (isInterrupted)
            co_return std::pair(boost::system::error_code(asio::error::operation_aborted), std::size_t(0));
        if (consecutiveReceptions < maximumConsecutiveReceptions) {
            if (scratch.size() < offset + maximumBytes)
                scratch.resize(offset + maximumBytes);
            boost::system::error_code errorCode;
            auto const length = socket.receive(asio::buffer(scratch.data() + offset, maximumBytes), 0, errorCode);
            if (!errorCode) {
                ++consecutiveReceptions;
                memory.recordProgress(length);
            }
            if (errorCode != asio::error::would_block && errorCode != asio::error::try_again)
                co_return std::pair(errorCode, length);
        }
        consecutiveReceptions = 0;
        auto [waitError] = co_await socket.async_wait(tcp::socket::wait_read, useTuple);
        if (waitError)
            co_return std::pair(waitError, std::size_t(0));
    }
}

bool Connection::updateMemory()
{
    body.otherBytes = connectionBytes + pending.capacity() + fieldBytes + widenedBytes;
    return memory.resizeRequest(body.otherBytes + body.granted);
}

Core::Awaitable<bool> Connection::awaitMemory(Core::Runtime& runtime)
{
    // The tasks of those that have yielded continue in the same turn of the event loop.
    static constexpr std::chrono::milliseconds interval { 5 };
    static constexpr int maximumAttempts = 10;
    for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
        if (isInterrupted || updateMemory())
            co_return !isInterrupted;
        if (!memory.isRoomBeingFreed())
            co_return false;
        co_await runtime.sleepFor(interval);
    }
    co_return false;
}

void Connection::widenReceiveQueue(std::size_t bodyBytes)
{
    auto const usual = memory.limits().receiveQueueBytes;
    // A request of ordinary size stays a small holding.
    auto const room = bodyBytes > smallHoldingBytes ? widestReceiveQueueBytes : smallHoldingBytes - std::min(smallHoldingBytes, memory.bytes() + bodyBytes);
    auto const wide = std::min({ widestReceiveQueueBytes, bodyBytes, room });
    if (usual == 0 || wide <= std::max(usual, widenedBytes) || !memory.hasSpareRoom(wide))
        return;
    if (HTTP::widenReceiveQueue(socket.native_handle(), wide))
        widenedBytes = wide;
}

void Connection::restoreReceiveQueue()
{
    if (widenedBytes == 0)
        return;
    widenedBytes = 0;
    (void)limitReceiveQueue(socket.native_handle(), memory.limits().receiveQueueBytes);
}

Core::Awaitable<bool> Connection::waitForWork(Core::Runtime& runtime, WorkState& work, WorkLimits const& limits, double units)
{
    // Until an interruption is noticed.
    static constexpr std::chrono::milliseconds checkInterval { 100 };
    auto const wait = takeWork(work, limits, units, runtime.now());
    if (!wait)
        co_return false;
    auto const end = runtime.now() + *wait;
    while (runtime.now() < end && socket.is_open() && !isInterrupted)
        co_await runtime.sleepUntil(std::min(end, runtime.now() + checkInterval));
    co_return socket.is_open() && !isInterrupted;
}

// The task of a request that is still being received answers it with a refusal.
std::size_t Connection::yield(YieldScope scope)
{
    auto const bodyBytes = body.granted;
    body.refuse();
    interrupt();
    if (scope == YieldScope::Memory)
        return bodyBytes;
    // What the client does not read would stay with the system for minutes.
    if (hasBytesUnderWay(socket))
        reset();
    else
        close();
    return bodyBytes;
}

}
