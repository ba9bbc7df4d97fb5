#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace HTTP {

/// What the system has counted on the sending side of a TCP connection.
struct SendCounters {
    std::uint32_t unacknowledgedSegments { 0 };
    /// Probes of a closed receive window that were sent since the last acknowledgement.
    std::uint32_t unansweredProbes { 0 };
    /// Bytes that wait to be sent for the first time.
    std::uint32_t unsentBytes { 0 };
    /// Time since a segment with data was sent, also for the second time.
    std::chrono::milliseconds sinceDataSent { 0 };
    /// Time since an acknowledgement arrived, also one that acknowledges nothing new.
    std::chrono::milliseconds sinceAcknowledgement { 0 };
};

enum class SendState {
    /// The peer has acknowledged all bytes.
    Complete,
    /// Data was sent that the peer has not answered yet, or the counters do not tell.
    InFlight,
    /// Not all bytes are acknowledged, but none are in flight: the peer reads slowly or not at all.
    WindowClosed,
    /// What was sent last has not been answered in time.
    Unreachable,
};

/// Follows the sending of one request.
struct SendWatch {
    std::chrono::steady_clock::time_point startedAt;
    /// Whether not all bytes have been passed to the system.
    bool isWriting { true };
    /// The first check that found data or the latest probe unanswered, if no acknowledgement has arrived since.
    std::optional<std::chrono::steady_clock::time_point> unansweredSince;
    /// At the last check.
    std::uint32_t unansweredProbes { 0 };
    /// When the peer counts as unreachable if it does not answer; empty if it has answered or owes no answer.
    std::optional<std::chrono::steady_clock::time_point> unreachableAt;
};

/// Decides whether the peer can be reached. It is unreachable if it has acknowledged nothing for the bound and has not answered what was sent
/// last. With a closed receive window nothing is sent between two probes, so that silence alone says nothing. Thread safe.
[[nodiscard]] SendState updateSendWatch(SendWatch&, SendCounters const&, std::chrono::milliseconds bound, std::chrono::steady_clock::time_point now);

/// Reads the counters of a TCP socket (TCP_INFO). Returns nothing, with the reason in errno, if the system does not provide them. Thread safe.
[[nodiscard]] std::optional<SendCounters> readSendCounters(int descriptor);

/// Lets the system end a connection whose data, or whose probes of a closed receive window, make no progress for this time
/// (TCP_USER_TIMEOUT); zero stands for its default. Returns false, with the reason in errno, if the system refuses. Thread safe.
bool setSystemTimeout(int descriptor, std::chrono::milliseconds);

/// Limits the time between two probes of a closed receive window. Returns false, with the reason in errno, if the system refuses, which Linux
/// before 6.15 does. Thread safe.
bool limitProbeInterval(int descriptor, std::chrono::milliseconds);

}
