#include <LibLimits/RetryBudget.h>

#include <algorithm>

namespace Limits {

RetryBudget::RetryBudget(double retriesPerRequest, double retriesPerSecond, double capacity, InitialLevel initialLevel)
    : m_retriesPerRequest(retriesPerRequest)
    , m_retriesPerSecond(retriesPerSecond)
    , m_capacity(capacity)
    , m_level(initialLevel == InitialLevel::Full ? capacity : 0)
{
}

void RetryBudget::resize(double retriesPerRequest, double retriesPerSecond, double capacity)
{
    m_retriesPerRequest = retriesPerRequest;
    m_retriesPerSecond = retriesPerSecond;
    m_capacity = capacity;
    m_level = std::min(m_level, capacity);
}

void RetryBudget::recordRequest(Core::MonotonicTime now)
{
    refill(now);
    m_level = std::min(m_capacity, m_level + m_retriesPerRequest);
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
        m_level = std::min(m_capacity, m_level + elapsed * m_retriesPerSecond);
    }
    m_refilledAt = now;
}

}
