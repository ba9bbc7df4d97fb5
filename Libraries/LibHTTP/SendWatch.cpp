#include <LibHTTP/SendWatch.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace HTTP {

// The time in which the system of a peer that can be reached answers a probe; covers a round trip and scheduling delays.
static constexpr std::chrono::milliseconds probeAnswerTime { 300 };

// Linux answers one probe in 500 ms; the next one comes after twice the time. The rest covers the time between two checks.
static constexpr std::chrono::milliseconds ignoredProbeTime { 650 };

SendState updateSendWatch(SendWatch& watch, SendCounters const& counters, std::chrono::milliseconds bound, std::chrono::steady_clock::time_point now)
{
    bool const isComplete = !watch.isWriting && counters.unsentBytes == 0 && counters.unacknowledgedSegments == 0;
    // Counters without times come from a system that counts only in part; they prove nothing.
    bool const hasTimes = counters.sinceDataSent.count() > 0 || counters.sinceAcknowledgement.count() > 0;
    // A peer that drops data because its receive buffer is full answers each retransmission without acknowledging the data.
    bool const isDataUnanswered = counters.unacknowledgedSegments > 0 && (!hasTimes || counters.sinceDataSent < counters.sinceAcknowledgement);
    auto const state = isDataUnanswered || !hasTimes ? SendState::InFlight : SendState::WindowClosed;
    bool const hasNewProbe = counters.unansweredProbes > watch.unansweredProbes;
    watch.unansweredProbes = counters.unansweredProbes;
    watch.unreachableAt.reset();
    if (isComplete || (!isDataUnanswered && counters.unansweredProbes == 0)) {
        watch.unansweredSince.reset();
        return isComplete ? SendState::Complete : state;
    }
    auto const acknowledgedAt = now - counters.sinceAcknowledgement;
    if (!watch.unansweredSince || *watch.unansweredSince < acknowledgedAt || hasNewProbe)
        watch.unansweredSince = now;
    bool const mayBeIgnored = !isDataUnanswered && counters.unansweredProbes == 1 && *watch.unansweredSince - acknowledgedAt < ignoredProbeTime;
    if (mayBeIgnored)
        return state;
    watch.unreachableAt = std::max(std::max(watch.startedAt, acknowledgedAt) + bound, *watch.unansweredSince + probeAnswerTime);
    return now >= *watch.unreachableAt ? SendState::Unreachable : state;
}

std::optional<SendCounters> readSendCounters(int descriptor)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
        return std::nullopt;
    // The structure grows with the system's version. State and timeout are never zero once a connection was established.
    if (length < offsetof(tcp_info, tcpi_notsent_bytes) + sizeof(info.tcpi_notsent_bytes) || info.tcpi_state == 0 || info.tcpi_rto == 0) {
        errno = ENOPROTOOPT;
        return std::nullopt;
    }
    return SendCounters {
        .unacknowledgedSegments = info.tcpi_unacked,
        .unansweredProbes = info.tcpi_probes,
        .unsentBytes = info.tcpi_notsent_bytes,
        .sinceDataSent = std::chrono::milliseconds(info.tcpi_last_data_sent),
        .sinceAcknowledgement = std::chrono::milliseconds(info.tcpi_last_ack_recv),
    };
}

static bool setOption(int descriptor, int option, std::chrono::milliseconds time)
{
    auto const value = static_cast<int>(time.count());
    return setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value)) == 0;
}

bool setSystemTimeout(int descriptor, std::chrono::milliseconds timeout)
{
    return setOption(descriptor, TCP_USER_TIMEOUT, timeout);
}

bool limitProbeInterval(int descriptor, std::chrono::milliseconds interval)
{
    // TCP_RTO_MAX_MS, which the headers of older systems do not name.
    static constexpr int maximumRetransmissionTimeout = 44;
    return setOption(descriptor, maximumRetransmissionTimeout, interval);
}

}
