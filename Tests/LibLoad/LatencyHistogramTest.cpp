#include <LibCore/Random.h>
#include <Load/LatencyHistogram.h>
#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <vector>

using Load::LatencyHistogram;

// Guards against gaps or overlaps between buckets: an upper bound is in its bucket, and the value after it in the next bucket.
TEST(LatencyHistogramTest, BucketsAreContiguousAndBounded)
{
    for (std::size_t index = 0; index < 3000; ++index) {
        auto const bound = LatencyHistogram::bucketUpperBound(index);
        ASSERT_EQ(LatencyHistogram::bucketIndex(bound), index);
        ASSERT_EQ(LatencyHistogram::bucketIndex(bound + 1), index + 1);
        if (index == 0)
            continue;
        auto const width = bound - LatencyHistogram::bucketUpperBound(index - 1);
        ASSERT_LE(width * 64, std::max<std::uint64_t>(64, bound)) << "the bucket is wider than 1/64 of its values";
    }
    EXPECT_EQ(LatencyHistogram::bucketUpperBound(LatencyHistogram::bucketIndex(UINT64_MAX)), UINT64_MAX);
}

TEST(LatencyHistogramTest, QuantilesAreWithinTheErrorBound)
{
    Core::Random random(7);
    LatencyHistogram first;
    LatencyHistogram second;
    std::vector<std::uint64_t> values;
    for (int count = 0; count < 20'000; ++count) {
        values.push_back(random.below(std::uint64_t { 1 } << (1 + random.below(30))));
        (count % 2 == 0 ? first : second).record(values.back());
    }
    std::sort(values.begin(), values.end());
    first.merge(second);
    EXPECT_EQ(first.count(), values.size());
    EXPECT_EQ(first.minimum(), values.front());
    EXPECT_EQ(first.maximum(), values.back());
    for (auto const quantile : { 0.0, 0.001, 0.5, 0.9, 0.99, 0.9999, 1.0 }) {
        auto const rank = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size()))));
        auto const exact = values[rank - 1];
        EXPECT_GE(first.quantile(quantile), exact);
        EXPECT_LE(first.quantile(quantile), exact + exact / 64);
    }
}

TEST(LatencyHistogramTest, EmptyHistogramIsZero)
{
    LatencyHistogram const empty;
    EXPECT_EQ(empty.quantile(0.99), 0u);
    EXPECT_EQ(empty.minimum(), 0u);
    EXPECT_EQ(empty.mean(), 0);
}
