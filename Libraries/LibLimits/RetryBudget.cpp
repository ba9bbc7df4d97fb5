#include <LibLimits/RetryBudget.h>

#include <algorithm>

namespace Limits {

// Lets a burst of failures, such as one crashed server with a full batch, be retried at once.
static constexpr double maximumLevel = 32;

RetryBudget::RetryBudget(double share, double retriesPerSecond)
    : m_share(share)
    , m_retriesPerSecond(retriesPerSecond)
    , m_level(maximumLevel)
{
}

void RetryBudget::recordRequest(Core::MonotonicTime now)
{
    refill(now);
    m_level = std::min(maximumLevel, m_level + m_share);
}

bool RetryBudget::tryTake(Core::MonotonicTime now)
{
    refill(now);
    if (m_level < 1)
        return false;
    m_level -= 1;
    return true;
}

void RetryBudget::refill(Core::MonotonicTime now)
{
    if (m_refilledAt != Core::MonotonicTime {}) {
        double const elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
        m_level = std::min(maximumLevel, m_level + elapsed * m_retriesPerSecond);
    }
    m_refilledAt = now;
}

}
