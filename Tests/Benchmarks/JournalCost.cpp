#include <Integration/Cluster.h>

#include <LibCore/Random.h>
#include <algorithm>
#include <cmath>
#include <cstdio>

using namespace std::chrono_literals;
using Integration::Cluster;

namespace {

struct Measurement {
    std::vector<double> milliseconds;
    std::size_t refused { 0 };
    std::size_t pending { 0 };
};

Core::Awaitable<void> sendRefund(Core::Runtime& runtime, HTTP::Client& client, Core::Endpoint node, Measurement& measurement)
{
    Core::Error error;
    auto request = Integration::refundRequest(Integration::newKey());
    auto const startedAt = runtime.now();
    auto const response = co_await client.send(std::move(node), std::move(request), HTTP::ConnectionUse::Pooled, startedAt + 15s, error);
    measurement.milliseconds.push_back(std::chrono::duration<double, std::milli>(runtime.now() - startedAt).count());
    measurement.refused += response && response->status == 200 ? 0 : 1;
    --measurement.pending;
}

// Open loop: requests arrive independently of responses.
Core::Awaitable<bool> sendRefunds(Core::Runtime& runtime, HTTP::Client& client, std::vector<Core::Endpoint> nodes, double requestsPerSecond, Core::Duration duration, Core::Random& random, Measurement& measurement)
{
    auto next = runtime.now();
    auto const end = next + duration;
    for (std::size_t index = 0; next < end; ++index) {
        auto const gap = -std::log(1 - random.unit()) / requestsPerSecond;
        next += std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(gap));
        co_await runtime.sleepUntil(next);
        ++measurement.pending;
        runtime.spawn(sendRefund(runtime, client, nodes[index % nodes.size()], measurement));
    }
    while (measurement.pending > 0)
        co_await runtime.sleepFor(10ms);
    co_return true;
}

double quantile(std::vector<double>& values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void measure(unsigned nodeCount)
{
    static constexpr auto duration = 5s;
    Integration::ClusterOptions options;
    options.dataCentres = 1;
    options.nodesPerDataCentre = nodeCount;
    options.enginesPerDataCentre = 0;
    options.servicesPerDataCentre = 2;
    Cluster cluster(options);
    cluster.start();
    std::vector<Core::Endpoint> nodes;
    nodes.reserve(cluster.nodes().size());
    for (auto const& node : cluster.nodes())
        nodes.push_back(node->clientEndpoint);
    Core::Random random(1);
    for (double const requestsPerSecond : { 10.0, 50.0, 200.0, 400.0 }) {
        auto const writesBefore = cluster.platform().acceptedWrites().size();
        auto const updatesBefore = cluster.platform().callCount("update") + cluster.platform().callCount("create");
        auto const readsBefore = cluster.platform().callCount("read");
        TestSupport::EventLoop loop;
        HTTP::Client client(loop.runtime(), {});
        Measurement measurement;
        (void)loop.run(sendRefunds(loop.runtime(), client, nodes, requestsPerSecond, duration, random, measurement));
        auto const count = static_cast<double>(measurement.milliseconds.size());
        auto const writes = static_cast<double>(cluster.platform().acceptedWrites().size() - writesBefore);
        auto const writeCalls = static_cast<double>(cluster.platform().callCount("update") + cluster.platform().callCount("create") - updatesBefore);
        auto const reads = static_cast<double>(cluster.platform().callCount("read") - readsBefore);
        auto const seconds = std::chrono::duration<double>(duration).count();
        std::printf("nodes=%u offered_per_s=%.0f refunds=%.0f refused=%zu writes_per_s=%.1f writes_per_refund=%.2f conflicts_per_refund=%.2f reads_per_refund=%.2f p50_ms=%.0f p95_ms=%.0f p99_ms=%.0f\n",
            nodeCount, requestsPerSecond, count, measurement.refused, writes / seconds, writes / count, (writeCalls - writes) / count, reads / count,
            quantile(measurement.milliseconds, 0.5), quantile(measurement.milliseconds, 0.95), quantile(measurement.milliseconds, 0.99));
        std::fflush(stdout);
    }
}

}

// Prints the store calls and the latency that the intent journal adds with 1, 2 and 4 nodes; docs/at-most-once.md has the
// figures.
int main()
{
    for (unsigned const nodeCount : { 1U, 2U, 4U })
        measure(nodeCount);
}
