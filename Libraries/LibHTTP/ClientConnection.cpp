#include <LibHTTP/ClientConnection.h>

#include <LibCore/Log.h>
#include <cerrno>
#include <system_error>
#include <utility>

namespace HTTP {

namespace asio = boost::asio;

static constexpr auto checkInterval = std::chrono::milliseconds(100);
// Shorter than the bound, so that a link that is cut between two probes is noticed in time.
static constexpr auto probeInterval = std::chrono::seconds(1);

void ReachabilityWatch::start()
{
    stop();
    m_watch = { .startedAt = m_runtime.now() };
    // Before the system's timeout passes, with time for a late check.
    m_timer = m_runtime.callAt(m_watch.startedAt + m_bound / 2, [this] { check(); });
}

void ReachabilityWatch::stop()
{
    m_timer.cancel();
    if (std::exchange(m_isSystemTimeoutOff, false) && m_socket.is_open())
        changeSystemTimeout(m_bound);
}

void ReachabilityWatch::check()
{
    auto const counters = readSendCounters(m_socket.native_handle());
    if (!counters) {
        Core::logEvent(Core::LogLevel::Warning, "connection_counters_unreadable", { { "reason", std::generic_category().message(errno) } });
        stop();
        return;
    }
    auto const now = m_runtime.now();
    switch (updateSendWatch(m_watch, *counters, m_bound, now)) {
    case SendState::Complete:
        stop();
        return;
    case SendState::Unreachable:
        closeUnreachable();
        return;
    case SendState::WindowClosed:
        if (!m_isSystemTimeoutOff && changeSystemTimeout(std::chrono::milliseconds::zero())) {
            m_isSystemTimeoutOff = true;
            (void)limitProbeInterval(m_socket.native_handle(), probeInterval);
        }
        break;
    case SendState::InFlight:
        break;
    }
    m_timer = m_runtime.callAt(std::min(now + checkInterval, m_watch.unreachableAt.value_or(now + checkInterval)), [this] { check(); });
}

void ReachabilityWatch::closeUnreachable()
{
    m_isUnreachable = true;
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

bool ReachabilityWatch::changeSystemTimeout(std::chrono::milliseconds timeout)
{
    if (setSystemTimeout(m_socket.native_handle(), timeout))
        return true;
    Core::logEvent(Core::LogLevel::Warning, "connection_timeout_unchanged", { { "reason", std::generic_category().message(errno) } });
    return false;
}

}
