#include <Edge/ResponseForwarder.h>

#include <Edge/OverloadControl.h>
#include <algorithm>
#include <charconv>

namespace Edge {

using Core::ErrorKind;
using Core::RunState;
using Forward::AttemptOutcome;

// The length that a response announces; 0 if it announces none.
static std::size_t announcedLength(HTTP::Headers const& headers)
{
    auto const value = headers.find("Content-Length").value_or("");
    std::size_t length = 0;
    (void)std::from_chars(value.data(), value.data() + value.size(), length);
    return length;
}

static constexpr std::size_t maximumBytesOfAResponse = 4 * 1024 * 1024;
static constexpr std::size_t shortResponseBytes = 16 * 1024;

// How many bytes a response may have of which some have arrived. One without an announced length gets room in two steps, of which the second is
// the last, so that responses which hold a part never wait for each other.
static std::size_t expectedLength(std::size_t arrived, std::size_t announced)
{
    static constexpr std::size_t firstStep = 256 * 1024;
    if (announced >= arrived)
        return announced;
    if (arrived <= shortResponseBytes)
        return arrived;
    return arrived <= firstStep ? firstStep : std::max(arrived, maximumBytesOfAResponse);
}

Core::Awaitable<AttemptOutcome> ResponseForwarder::readResponse(RequestContext& context, Attempt& attempt, Core::Error& error)
{
    HTTP::Response response { attempt.stream->status(), {}, {} };
    auto const announced = announcedLength(attempt.stream->headers());
    // A server's error response to an earlier attempt.
    std::size_t const bytesOfKeptResponse = context.response ? context.response->body.size() : 0;
    while (true) {
        auto piece = co_await attempt.stream->readSome(context.deadline, error);
        if (!piece)
            co_return attempt.attributes.isNotExecuted ? AttemptOutcome::NotExecuted : AttemptOutcome::Unknown;
        if (piece->empty())
            break;
        auto const length = response.body.size() + piece->size();
        if (bytesOfKeptResponse + length > context.bufferedBytes) {
            auto const expected = expectedLength(length, announced);
            bool const isHeld = co_await holdResponse(context, attempt, bytesOfKeptResponse, expected, error);
            if (!isHeld)
                co_return attempt.attributes.isNotExecuted ? AttemptOutcome::NotExecuted : AttemptOutcome::Unknown;
            response.body.reserve(expected);
        }
        response.body += *piece;
    }
    if (attempt.attributes.isNotExecuted) {
        Core::fail(error, ErrorKind::Overloaded, "the server returned status " + std::to_string(response.status) + " without executing the request");
        co_return AttemptOutcome::NotExecuted;
    }
    if (attempt.attributes.hasRefusalStatus) {
        Core::fail(error, ErrorKind::BackendAnswerInvalid, "the server returned status " + std::to_string(response.status) + " without stating that it did not execute the request", RunState::Unknown);
        co_return AttemptOutcome::Unknown;
    }
    static constexpr unsigned firstServerError = 500;
    m_recorder.recordRequestStart(context);
    response.headers = m_dependencies.codec.filterResponseHeaders(attempt.stream->headers());
    bool const failed = response.status >= firstServerError;
    context.response = std::move(response);
    co_return failed ? AttemptOutcome::ServerError : AttemptOutcome::ResponseReceived;
}

bool ResponseForwarder::holdEvent(RequestContext& context, std::size_t bytes)
{
    // A quarter of the memory of a small host.
    static constexpr std::size_t maximumBytesOfAllEvents = 40 * 1024 * 1024;
    auto const bytesOfOthers = m_eventBytes - context.eventBytes;
    if (bytes > context.eventBytes && (bytes > maximumBytesOfAResponse || bytesOfOthers + bytes > maximumBytesOfAllEvents))
        return false;
    if (!context.writer.reserve(bytes))
        return false;
    context.bufferedBytes = bytes;
    context.eventBytes = bytes;
    m_eventBytes = bytesOfOthers + bytes;
    return true;
}

// Until there is room for a long response, its server waits, and nobody else has to yield.
Core::Awaitable<bool> ResponseForwarder::holdResponse(RequestContext& context, Attempt& attempt, std::size_t bytesOfKeptResponse, std::size_t expected, Core::Error& error)
{
    if (expected > maximumBytesOfAResponse) {
        Core::fail(error, ErrorKind::BackendAnswerInvalid, "the response is larger than " + std::to_string(maximumBytesOfAResponse) + " bytes", RunState::Unknown);
        co_return false;
    }
    auto const bytes = bytesOfKeptResponse + expected;
    if (bytes <= shortResponseBytes && context.writer.reserve(bytes)) {
        context.bufferedBytes = bytes;
        co_return true;
    }
    std::function<bool()> isCancelled = [&context] { return context.clientDisconnected || context.cancellation.isCancelled(); };
    bool const isGranted = co_await context.writer.awaitReservation(bytes, context.deadline, std::move(isCancelled));
    if (!isGranted) {
        Core::fail(error, ErrorKind::DeadlineExceeded, "there was no memory in time for a response of " + std::to_string(expected) + " bytes", RunState::Unknown);
        co_return false;
    }
    context.bufferedBytes = bytes;
    attempt.stream->expectLongBody();
    co_return true;
}

bool ResponseForwarder::mayContinueElsewhere(RequestContext const& context)
{
    return context.route->isResumable && context.firstEventAt && context.possibleExecutions < context.route->maximumServers;
}

// A stream that is resumed after its last event has no more events. A response that ends with its connection may lack some.
bool ResponseForwarder::mayBeEmpty(RequestContext const& context, Attempt const& attempt)
{
    auto const& headers = attempt.stream->headers();
    bool const isResumed = context.streamStarted || context.attributes.lastEventId;
    return isResumed && attempt.attributes.isSigned && (headers.find("Content-Length") || headers.find("Transfer-Encoding"));
}

Core::Awaitable<AttemptOutcome> ResponseForwarder::forwardStream(RequestContext& context, Attempt& attempt, Core::Error& error)
{
    static constexpr std::size_t maximumEventBytes = 1024 * 1024;
    // A server's error response to an earlier attempt.
    std::size_t const bytesOfKeptResponse = context.response ? context.response->body.size() : 0;
    while (true) {
        bool const mayStall = mayContinueElsewhere(context) && attempt.stallsAt < context.deadline;
        if (mayStall && m_dependencies.runtime.now() >= attempt.stallsAt) {
            Core::fail(error, ErrorKind::DeadlineExceeded, "no event from " + attempt.placement.endpoint.toString() + " in time", RunState::Unknown);
            co_return AttemptOutcome::Stalled;
        }
        auto piece = co_await attempt.stream->readSome(mayStall ? attempt.stallsAt : context.deadline, mayStall ? HTTP::AfterReadDeadline::KeepConnection : HTTP::AfterReadDeadline::CloseConnection, error);
        if (!piece && mayStall && error.kind == ErrorKind::DeadlineExceeded)
            co_return AttemptOutcome::Stalled;
        if (!piece)
            co_return AttemptOutcome::Unknown;
        auto events = context.events.feed(*piece);
        if (context.events.partial().size() > maximumEventBytes) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "an event of the stream is larger than " + std::to_string(maximumEventBytes) + " bytes", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        if (!holdEvent(context, bytesOfKeptResponse + context.events.partial().size() + (context.stalled ? context.stalled->partialEvent.size() : 0))) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "an incomplete event of " + std::to_string(context.events.partial().size()) + " bytes cannot be held in memory", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        bool const isEnd = piece->empty();
        if (isEnd && !context.events.partial().empty()) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "the stream ended in the middle of an event", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        if (isEnd && context.events.eventCount() == attempt.eventsBefore && !mayBeEmpty(context, attempt)) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "the stream ended before its first event", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        if (!events.empty()) {
            context.stalled.reset();
            if (++attempt.eventPieces > 1)
                m_recorder.recordSound(context);
            m_recorder.recordRequestStart(context);
            if (!context.firstEventAt) {
                context.firstEventAt = m_dependencies.runtime.now();
                m_recorder.recordFirstEvent(context, attempt);
                recordFirstEvent(m_dependencies.tables, context, attempt, *context.firstEventAt);
            }
        }
        if (!context.streamStarted && (!events.empty() || isEnd)) {
            context.status = attempt.stream->status();
            context.streamStarted = true;
            bool const isConnected = co_await context.writer.begin(context.status, m_dependencies.codec.filterResponseHeaders(attempt.stream->headers()));
            context.clientDisconnected = context.clientDisconnected || !isConnected;
        }
        if (!events.empty() && !context.clientDisconnected) {
            bool const isConnected = co_await context.writer.write(std::move(events));
            context.clientDisconnected = context.clientDisconnected || !isConnected;
            attempt.stallsAt = m_dependencies.runtime.now() + maximumEventGap;
        }
        if (context.clientDisconnected) {
            Core::fail(error, ErrorKind::Cancelled, "the client disconnected", RunState::Ran);
            co_return AttemptOutcome::Unknown;
        }
        if (context.events.isOutOfOrder()) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "an event of the stream has no id or not one above the last", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        if (isEnd) {
            context.streamFinished = true;
            co_return AttemptOutcome::ResponseReceived;
        }
    }
}

}
