#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibHTTP/Message.h>
#include <chrono>
#include <optional>
#include <vector>

namespace Hyssopstep {

/// Whether a request may be sent to another node after a first node may have executed it.
enum class RetryPolicy {
    /// For reads, and for applies, whose repetitions nodes recognise by the apply id.
    Always,
    /// Tries the next node only if the request was not executed.
    OnlyIfNotRun,
};

/// Sends a request to the nodes in turn until one responds with a status other than 503. Starts over at the end of the list, and
/// stops at the timeout. Blocks the calling thread.
/// Returns the last 503 response if there is none other. Fails with the error of the last attempt; its run state is
/// RunState::Unknown if any node may have executed the request.
[[nodiscard]] std::optional<HTTP::Response> sendToNodes(std::vector<Core::Endpoint> const&, HTTP::Request const&, RetryPolicy, std::chrono::milliseconds timeout, Core::Error&);

}
