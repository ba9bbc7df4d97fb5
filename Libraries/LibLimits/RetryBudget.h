#pragma once

#include <LibCore/Runtime.h>

namespace Limits {

/// Limits the retries (and hedges) of a service to a share of its recent requests, so that retries do not amplify an outage. Not
/// thread safe.
class RetryBudget {
public:
    /// Allows a burst of failures, such as the full batch of a crashed server, to be retried immediately.
    static constexpr double defaultCapacity = 32;

    /// What may be spent before requests or time have added to the budget.
    enum class InitialLevel {
        Full,
        /// An earlier process of the node may have spent its budget just before.
        Empty,
    };

    /// Each request adds retriesPerRequest, for example 0.1, to the budget. A small constant rate allows a service with few requests to
    /// retry too. The capacity is the number of retries that can accumulate.
    RetryBudget(double retriesPerRequest, double retriesPerSecond, double capacity = defaultCapacity, InitialLevel = InitialLevel::Full);

    /// Changes the rates and the capacity, for example when the number of nodes that share them or the settings change. What was spent
    /// remains spent.
    void resize(double retriesPerRequest, double retriesPerSecond, double capacity);

    void recordRequest(Core::MonotonicTime now);

    /// Takes one retry from the budget. Returns false if less than one is available.
    [[nodiscard]] bool tryTake(Core::MonotonicTime now);

private:
    void refill(Core::MonotonicTime now);

    double m_retriesPerRequest;
    double m_retriesPerSecond;
    double m_capacity;
    double m_level;
    Core::MonotonicTime m_refilledAt {};
};

}
