#pragma once

#include <cstdint>
#include <vector>

namespace Load {

/// A log-linear histogram: each power of two is divided into 64 buckets, so a quantile exceeds the true value by less than 1/64
/// of it, and values under 128 are exact. The load tool records microseconds. Not thread safe.
class LatencyHistogram {
public:
    void record(std::uint64_t value);

    /// Adds all values of another histogram.
    void merge(LatencyHistogram const&);

    [[nodiscard]] std::uint64_t count() const { return m_count; }
    [[nodiscard]] std::uint64_t minimum() const { return m_count == 0 ? 0 : m_minimum; }
    [[nodiscard]] std::uint64_t maximum() const { return m_maximum; }
    [[nodiscard]] double mean() const;

    /// Returns the upper bound of the bucket that holds the quantile (nearest rank), capped at the maximum recorded value.
    /// Returns 0 if there are no values. Precondition: 0 <= quantile <= 1.
    [[nodiscard]] std::uint64_t quantile(double) const;

    [[nodiscard]] static std::size_t bucketIndex(std::uint64_t value);

    /// Returns the largest value of a bucket.
    [[nodiscard]] static std::uint64_t bucketUpperBound(std::size_t index);

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count { 0 };
    std::uint64_t m_minimum { UINT64_MAX };
    std::uint64_t m_maximum { 0 };
    double m_sum { 0 };
};

}
