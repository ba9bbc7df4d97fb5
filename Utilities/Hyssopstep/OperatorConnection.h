#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibHTTP/Message.h>
#include <chrono>
#include <optional>
#include <vector>

namespace Hyssopstep {

/// Whether a request may be sent to a second node after a first one may have acted on it.
enum class RetryPolicy {
    /// Reads, and applies, which nodes recognise by their apply id.
    Always,
    /// The next node is tried only if no byte reached the one before.
    OnlyIfNotRun,
};

/// Sends a request to the first node that answers it. A node that cannot be reached, or answers 503, is followed by the next
/// one; the list is repeated until the timeout. Blocks the calling thread.
/// Fails with the last node's error; RunState::Unknown if any node may have acted on the request.
[[nodiscard]] std::optional<HTTP::Response> sendToNodes(std::vector<Core::Endpoint> const&, HTTP::Request const&, RetryPolicy, std::chrono::milliseconds timeout, Core::Error&);

}
