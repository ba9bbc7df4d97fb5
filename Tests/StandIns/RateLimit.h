#pragma once

#include <LibCore/Runtime.h>
#include <algorithm>
#include <cstdint>

namespace StandIns {

/// A token bucket whose capacity is the number of calls per second. Not thread safe.
class RateLimit {
public:
    /// Takes one token from the bucket. Returns false if there is none. A rate of 0 means no limit.
    [[nodiscard]] bool admit(Core::MonotonicTime now, std::uint64_t callsPerSecond)
    {
        if (callsPerSecond == 0)
            return true;
        auto const limit = static_cast<double>(callsPerSecond);
        if (callsPerSecond != m_callsPerSecond) {
            m_callsPerSecond = callsPerSecond;
            m_availableTokens = limit;
        } else {
            m_availableTokens = std::min(limit, m_availableTokens + std::chrono::duration<double>(now - m_refilledAt).count() * limit);
        }
        m_refilledAt = now;
        if (m_availableTokens < 1)
            return false;
        m_availableTokens -= 1;
        return true;
    }

private:
    std::uint64_t m_callsPerSecond { 0 };
    double m_availableTokens { 0 };
    Core::MonotonicTime m_refilledAt {};
};

}
