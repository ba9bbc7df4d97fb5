#include <Edge/ResponseForwarder.h>

#include <Edge/OverloadControl.h>

namespace Edge {

using Core::ErrorKind;
using Core::RunState;
using Forward::AttemptOutcome;

Core::Awaitable<AttemptOutcome> ResponseForwarder::readResponse(RequestContext& context, Attempt& attempt, Core::Error& error)
{
    HTTP::Response response { attempt.stream->status(), {}, {} };
    while (true) {
        auto piece = co_await attempt.stream->readSome(context.deadline, error);
        if (!piece)
            co_return attempt.attributes.isNotExecuted ? AttemptOutcome::NotExecuted : AttemptOutcome::Unknown;
        if (piece->empty())
            break;
        if (!holdBytes(context, context.bufferedBytes + piece->size())) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "the response is larger than " + std::to_string(response.body.size()) + " bytes, which cannot be held in memory", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
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

bool ResponseForwarder::holdBytes(RequestContext& context, std::size_t bytes)
{
    static constexpr std::size_t maximumBytesOfAResponse = 4 * 1024 * 1024;
    // A quarter of the memory of a small host.
    static constexpr std::size_t maximumBytesOfAllResponses = 40 * 1024 * 1024;
    auto const bytesOfOthers = m_bufferedBytes - context.bufferedBytes;
    if (bytes > context.bufferedBytes && (bytes > maximumBytesOfAResponse || bytesOfOthers + bytes > maximumBytesOfAllResponses))
        return false;
    if (!context.writer.reserve(bytes))
        return false;
    context.bufferedBytes = bytes;
    m_bufferedBytes = bytesOfOthers + bytes;
    return true;
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
        if (!holdBytes(context, bytesOfKeptResponse + context.events.partial().size() + (context.stalled ? context.stalled->partialEvent.size() : 0))) {
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
