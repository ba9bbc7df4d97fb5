#include <Load/LatencyHistogram.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace Load {

static constexpr unsigned subBucketBits = 6;
static constexpr std::uint64_t subBuckets = 1U << subBucketBits;

// The index keeps the highest subBucketBits + 1 bits of the value and drops `shift` lower bits.
std::size_t LatencyHistogram::bucketIndex(std::uint64_t value)
{
    auto const width = static_cast<unsigned>(std::bit_width(value));
    if (width <= subBucketBits + 1)
        return value;
    auto const shift = width - subBucketBits - 1;
    return shift * subBuckets + (value >> shift);
}

std::uint64_t LatencyHistogram::bucketUpperBound(std::size_t index)
{
    if (index < 2 * subBuckets)
        return index;
    auto const shift = index / subBuckets - 1;
    auto const first = static_cast<std::uint64_t>(index - shift * subBuckets) << shift;
    return first + ((std::uint64_t { 1 } << shift) - 1);
}

void LatencyHistogram::record(std::uint64_t value)
{
    auto const index = bucketIndex(value);
    if (index >= m_buckets.size())
        m_buckets.resize(index + 1);
    ++m_buckets[index];
    ++m_count;
    m_minimum = std::min(m_minimum, value);
    m_maximum = std::max(m_maximum, value);
    m_sum += static_cast<double>(value);
}

void LatencyHistogram::merge(LatencyHistogram const& other)
{
    if (other.m_buckets.size() > m_buckets.size())
        m_buckets.resize(other.m_buckets.size());
    for (std::size_t index = 0; index < other.m_buckets.size(); ++index)
        m_buckets[index] += other.m_buckets[index];
    m_count += other.m_count;
    m_minimum = std::min(m_minimum, other.m_minimum);
    m_maximum = std::max(m_maximum, other.m_maximum);
    m_sum += other.m_sum;
}

double LatencyHistogram::mean() const
{
    return m_count == 0 ? 0 : m_sum / static_cast<double>(m_count);
}

std::uint64_t LatencyHistogram::quantile(double quantile) const
{
    auto const rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(m_count))));
    std::uint64_t cumulativeCount = 0;
    for (std::size_t index = 0; index < m_buckets.size(); ++index) {
        cumulativeCount += m_buckets[index];
        if (cumulativeCount >= rank)
            return std::min(bucketUpperBound(index), m_maximum);
    }
    return m_maximum;
}

}
