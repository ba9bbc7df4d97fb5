#pragma once

#include <LibCore/Runtime.h>
#include <algorithm>
#include <cstdint>

namespace StandIns {

/// A token bucket that holds one second's worth of calls. Not thread safe.
class RateLimit {
public:
    /// Takes one call out of the bucket. Returns false if there is none. A rate of 0 means no limit.
    [[nodiscard]] bool admit(Core::MonotonicTime now, std::uint64_t callsPerSecond)
    {
        if (callsPerSecond == 0)
            return true;
        auto const limit = static_cast<double>(callsPerSecond);
        if (callsPerSecond != m_callsPerSecond) {
            m_callsPerSecond = callsPerSecond;
            m_available = limit;
        } else {
            m_available = std::min(limit, m_available + std::chrono::duration<double>(now - m_lastCall).count() * limit);
        }
        m_lastCall = now;
        if (m_available < 1)
            return false;
        m_available -= 1;
        return true;
    }

private:
    std::uint64_t m_callsPerSecond { 0 };
    double m_available { 0 };
    Core::MonotonicTime m_lastCall {};
};

}
