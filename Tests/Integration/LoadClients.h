#pragma once

#include <Integration/Cluster.h>
#include <atomic>
#include <gtest/gtest.h>
#include <mutex>
#include <string_view>
#include <thread>

namespace Integration {

/// Counts of the requests and injected faults of a test, and of the outcomes at the clients.
struct RequestCounts {
    std::uint64_t sent { 0 };
    std::uint64_t faults { 0 };
    /// Requests that were refused as not run or not accepted, and that the client sent again.
    std::uint64_t sentAgain { 0 };
    /// Responses that ended early and were resumed at another node.
    std::uint64_t cutOff { 0 };
    /// Requests that no node accepted, or that no node completed.
    std::uint64_t lost { 0 };
    /// Responses with wrong, missing or repeated tokens, and calls that were not executed exactly once.
    std::uint64_t wrong { 0 };

    RequestCounts& operator+=(RequestCounts const&);
};

/// Prints the counts of a test as one line `figures: ...`. The invariants are those that the test checks, such as "I1,I2".
void printCounts(std::string_view invariants, RequestCounts const&);

/// Whether the tokens are the complete output of one attempt that the engines recorded for the request.
[[nodiscard]] testing::AssertionResult isCompleteOutput(Cluster const&, std::string const& requestId, std::vector<std::string> const& tokens, std::size_t length);

/// Returns the tokens in the body of a response that was not streamed; empty for any other body.
[[nodiscard]] std::vector<std::string> parseOutputTokens(std::string const& body);

struct LoadOptions {
    unsigned streamingClients { 4 };
    unsigned bufferedClients { 2 };
    unsigned serviceClients { 2 };
    std::size_t length { 30 };
    /// Whether the service clients send refunds or idempotent stock queries.
    Configuration::Idempotency serviceCalls { Configuration::Idempotency::NonIdempotent };
};

/// Clients that send requests to the nodes in turn until they are stopped, as clients behind the platform's load balancer do.
/// They send a request that was refused or not accepted again to the next node, and resume an interrupted response there.
class LoadClients {
public:
    /// Precondition: the cluster outlives the clients.
    LoadClients(Cluster&, LoadOptions);
    LoadClients(LoadClients const&) = delete;
    LoadClients& operator=(LoadClients const&) = delete;
    ~LoadClients() { (void)stop(); }

    /// Replaces the endpoints that requests are sent to.
    void setEndpoints(std::vector<Core::Endpoint>);

    /// The number of finished requests, including those that failed.
    [[nodiscard]] std::uint64_t finishedRequests() const { return m_finishedRequests; }

    /// Waits until `count` more requests have finished. Returns false if that takes longer than the usual bound of the tests.
    [[nodiscard]] bool waitForFinishedRequests(std::uint64_t count) const;

    /// Waits for the requests in progress and returns the sum of the clients' counts.
    RequestCounts stop();

private:
    enum class Kind {
        Streamed,
        Whole,
        Service,
    };

    void run(Kind, unsigned client);
    void sendStreamed(RequestCounts&);
    void sendBuffered(RequestCounts&);
    void callService(RequestCounts&);
    void logEvent(std::string const& text);
    [[nodiscard]] Core::Endpoint nextEndpoint();

    Cluster& m_cluster;
    LoadOptions m_options;
    std::mutex m_mutex;
    std::vector<Core::Endpoint> m_endpoints;
    std::size_t m_next { 0 };
    RequestCounts m_total;
    std::atomic<std::uint64_t> m_finishedRequests { 0 };
    std::atomic<bool> m_stopping { false };
    std::vector<std::thread> m_threads;
};

}
