#pragma once

#include <Integration/Cluster.h>
#include <atomic>
#include <gtest/gtest.h>
#include <mutex>
#include <string_view>
#include <thread>

namespace Integration {

/// What a test did and what clients saw, printed for each test as one line `figures: ...`.
struct RequestCounts {
    std::uint64_t sent { 0 };
    std::uint64_t faults { 0 };
    /// Refused as not run, or not accepted; the client sent the request again.
    std::uint64_t sentAgain { 0 };
    /// Answers that ended early and were continued elsewhere.
    std::uint64_t cutOff { 0 };
    /// Accepted requests that no node completed.
    std::uint64_t lost { 0 };
    /// Answers with a token that is wrong, missing or repeated.
    std::uint64_t wrong { 0 };

    RequestCounts& operator+=(RequestCounts const&);
};

void printCounts(std::string_view promise, RequestCounts const&);

/// Whether the tokens are the complete answer of one attempt that the engines recorded for the request.
[[nodiscard]] testing::AssertionResult isCompleteOutput(Cluster const&, std::string const& requestId, std::vector<std::string> const& tokens, std::size_t length);

/// The tokens of the body of a whole response; empty for any other body.
[[nodiscard]] std::vector<std::string> parseOutputTokens(std::string const& body);

struct LoadOptions {
    unsigned streamingClients { 4 };
    unsigned bufferedClients { 2 };
    unsigned serviceClients { 2 };
    std::size_t length { 30 };
    /// Of the calls of the service clients.
    Configuration::Idempotency serviceCalls { Configuration::Idempotency::NonIdempotent };
};

/// Clients that send one request after another to the nodes in turn until they are stopped, as callers behind the platform's
/// load balancer do: what is refused or not accepted is sent again to the next node, and a broken answer is continued there.
class LoadClients {
public:
    /// Precondition: the cluster outlives the clients.
    LoadClients(Cluster&, LoadOptions);
    LoadClients(LoadClients const&) = delete;
    LoadClients& operator=(LoadClients const&) = delete;
    ~LoadClients() { (void)stop(); }

    /// Replaces the nodes that requests are sent to.
    void setEndpoints(std::vector<Core::Endpoint>);

    /// Requests answered so far.
    [[nodiscard]] std::uint64_t answered() const { return m_responseCount; }

    /// Waits until as many further requests have been answered.
    [[nodiscard]] bool waitForResponses(std::uint64_t count) const;

    /// Lets the clients finish what they have sent, and returns the sum of their counts.
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
    std::atomic<std::uint64_t> m_responseCount { 0 };
    std::atomic<bool> m_stopping { false };
    std::vector<std::thread> m_threads;
};

}
