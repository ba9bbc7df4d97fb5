#pragma once

#include <LibCore/Runtime.h>

namespace Limits {

/// Bounds the retries (and hedges) of a service to a share of its recent requests, so that an outage is not multiplied by
/// retries. Not thread safe.
class RetryBudget {
public:
    /// Lets a burst of failures, such as one crashed server with a full batch, be retried at once.
    static constexpr double defaultCapacity = 32;

    /// The share is in retries per request, for example 0.1. A small constant rate lets a quiet service retry too. The maximum
    /// level is the number of retries that may be saved up.
    RetryBudget(double retriesPerRequest, double retriesPerSecond, double capacity = defaultCapacity);

    /// Changes the constant rate and the maximum level, for example when the number of nodes that share them changes.
    void resize(double retriesPerSecond, double capacity);

    void recordRequest(Core::MonotonicTime now);

    /// Takes one retry from the budget. Returns false if none is left.
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
