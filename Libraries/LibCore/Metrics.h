#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Core {

/// The label pairs of one time series, for example { { "kind", "overloaded" } }.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// A monotonically increasing value. Not thread safe.
class Counter {
public:
    void add(std::uint64_t amount = 1) { m_value += amount; }
    [[nodiscard]] std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value { 0 };
};

/// A value that can increase and decrease. Not thread safe.
class Gauge {
public:
    void set(double value) { m_value = value; }
    void add(double amount) { m_value += amount; }
    [[nodiscard]] double value() const { return m_value; }

private:
    double m_value { 0 };
};

/// A distribution with streaming quantiles (0.5, 0.95, 0.99), kept by Boost.Accumulators. Not thread safe.
class Summary {
public:
    Summary();
    ~Summary();

    void observe(double value);
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;

    /// Precondition: the quantile is 0.5, 0.95 or 0.99. Returns 0 before the first observation.
    [[nodiscard]] double quantile(double) const;

private:
    struct Accumulators;
    std::unique_ptr<Accumulators> m_accumulators;
};

/// A distribution over fixed buckets, in seconds, so that the counts of several processes can be summed. Not thread safe.
class Histogram {
public:
    /// Upper bounds of the buckets, dense around the deployments' latency targets (0.1 to 1.5 s), up to the longest deadline.
    static constexpr std::array<double, 12> bounds { 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.5, 0.8, 1.2, 2, 5, 10 };

    void observe(double seconds);
    [[nodiscard]] std::uint64_t count() const { return m_count; }
    [[nodiscard]] double sum() const { return m_sum; }

    /// The number of observations up to the upper bound of the bucket.
    [[nodiscard]] std::uint64_t cumulativeCount(std::size_t bucket) const;

private:
    std::array<std::uint64_t, bounds.size()> m_buckets {};
    std::uint64_t m_count { 0 };
    double m_sum { 0 };
};

/// The metrics of one process. The references it returns stay valid for its lifetime. Not thread safe.
class Metrics {
public:
    [[nodiscard]] Counter& counter(std::string_view name, MetricLabels labels = {});
    [[nodiscard]] Gauge& gauge(std::string_view name, MetricLabels labels = {});
    [[nodiscard]] Summary& summary(std::string_view name, MetricLabels labels = {});
    [[nodiscard]] Histogram& histogram(std::string_view name, MetricLabels labels = {});

    /// Renders all metrics in the Prometheus text format, sorted by name and labels.
    [[nodiscard]] std::string renderText() const;

private:
    using Key = std::pair<std::string, MetricLabels>;

    std::map<Key, std::unique_ptr<Counter>> m_counters;
    std::map<Key, std::unique_ptr<Gauge>> m_gauges;
    std::map<Key, std::unique_ptr<Summary>> m_summaries;
    std::map<Key, std::unique_ptr<Histogram>> m_histograms;
};

}
