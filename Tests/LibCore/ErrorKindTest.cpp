#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Log.h>
#include <LibCore/Metrics.h>
#include <gtest/gtest.h>
#include <set>

using namespace std::chrono_literals;

// Guards against two error kinds with the same name.
TEST(ErrorKindTest, NamesAreUniqueAndParse)
{
    std::set<std::string_view> names;
    for (auto const& response : Core::errorResponses()) {
        EXPECT_TRUE(names.insert(response.name).second) << response.name;
        EXPECT_EQ(Core::errorKindFromName(response.name), response.kind);
    }
    EXPECT_FALSE(Core::errorKindFromName("no_such_kind"));
}

// Guards against a Retry-After of zero, on which clients retry immediately.
TEST(ErrorKindTest, RetryAfterIsRoundedUp)
{
    Core::Error error;
    Core::fail(error, Core::ErrorKind::TeamLimitExceeded, "");
    error.retryAfter = 10ms;
    EXPECT_EQ(Core::retryAfterFor(error), 1s);
    error.retryAfter = 2100ms;
    EXPECT_EQ(Core::retryAfterFor(error), 3s);
    Core::fail(error, Core::ErrorKind::InvalidRequest, "");
    EXPECT_FALSE(Core::retryAfterFor(error));
}

// Guards against log injection: input that splits or forges log lines.
TEST(LogTest, ValuesAreQuoted)
{
    auto const line = Core::formatLogLine("request", { { "id", "abc" }, { "text", "a b=\"c\"\nlevel=INFO" }, { "empty", "" } });
    EXPECT_EQ(line, "event=request id=abc text=\"a b=\\\"c\\\"\\x0alevel=INFO\" empty=\"\"");
}

TEST(EndpointTest, RefusesHostNames)
{
    Core::Error error;
    EXPECT_EQ(Core::parseEndpoint("127.0.0.1:80", error), (Core::Endpoint { "127.0.0.1", 80 }));
    EXPECT_EQ(Core::parseEndpoint("[::1]:80", error)->toString(), "[::1]:80");
    for (auto const* text : { "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x", "" })
        EXPECT_FALSE(Core::parseEndpoint(text, error)) << text;
}

// Guards against label values that break the text format.
TEST(MetricsTest, RendersPrometheusText)
{
    Core::Metrics metrics;
    metrics.counter("requests_total", { { "team", "a\"b" } }).add(3);
    metrics.summary("latency_seconds").observe(0.5);
    auto const text = metrics.renderText();
    EXPECT_NE(text.find("# TYPE requests_total counter\nrequests_total{team=\"a\\\"b\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("latency_seconds_count 1\n"), std::string::npos);
}
