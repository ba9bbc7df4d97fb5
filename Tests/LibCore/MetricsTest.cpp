#include <LibCore/Metrics.h>
#include <gtest/gtest.h>

TEST(MetricsTest, HistogramsCountUpToEachBound)
{
    Core::Metrics metrics;
    auto& histogram = metrics.histogram("latency_seconds", { { "route", "r" } });
    for (double const seconds : { 0.005, 0.1, 0.3, 20.0 })
        histogram.observe(seconds);
    auto const text = metrics.renderText();
    EXPECT_NE(text.find("# TYPE latency_seconds histogram\n"), std::string::npos);
    EXPECT_NE(text.find("latency_seconds_bucket{route=\"r\",le=\"0.05\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("latency_seconds_bucket{route=\"r\",le=\"0.1\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("latency_seconds_bucket{route=\"r\",le=\"10\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("latency_seconds_bucket{route=\"r\",le=\"+Inf\"} 4\n"), std::string::npos);
    EXPECT_NE(text.find("latency_seconds_count{route=\"r\"} 4\n"), std::string::npos);
}
