#pragma once

#include <Integration/Cluster.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Integration {

/// What a client was told by one node about one request.
struct RefundReply {
    std::string key;
    std::chrono::steady_clock::time_point sentAt;
    std::chrono::steady_clock::time_point endedAt;
    /// 0 if no answer came.
    unsigned status { 0 };
    /// Of a refusal.
    std::string kind;
    std::string runState;
    std::string body;

    [[nodiscard]] bool isAnswer() const { return status != 0 && runState.empty(); }
};

/// What the back ends recorded for one key.
struct Executions {
    std::size_t count { 0 };
    std::set<std::int64_t> numbers;
};

/// The counts of one scenario.
struct AtMostOnceCounts {
    std::size_t requests { 0 };
    std::size_t keys { 0 };
    std::size_t faults { 0 };
    std::size_t answered { 0 };
    std::size_t refusedNotRun { 0 };
    std::size_t refusedUnknown { 0 };
    std::size_t executedTwice { 0 };
    std::size_t wronglyNotRun { 0 };
    std::size_t differentReplays { 0 };
    /// Neither an answer nor a refusal within the deadline and the margin.
    std::size_t lost { 0 };

    [[nodiscard]] std::string toString() const;
};

/// Clients that send refunds, and repeat them under the same keys at other nodes. Thread safe.
class RefundClients {
public:
    /// Sends one request and records the reply.
    RefundReply send(ClusterNode const&, std::string const& key, std::chrono::milliseconds deadline = std::chrono::seconds(3));

    /// Sends an idempotent stock query, which has its own id in place of a key, and records the reply.
    RefundReply sendQuery(ClusterNode const&, std::chrono::milliseconds deadline = std::chrono::seconds(3));

    [[nodiscard]] std::size_t replyCount() const { return m_replyCount; }
    [[nodiscard]] std::vector<RefundReply> replies() const;

    /// The time a request may take over its deadline. Covers 500 ms of recording the answer and a busy machine.
    static constexpr std::chrono::milliseconds margin { 3000 };

private:
    RefundReply exchange(ClusterNode const&, HTTP::Request, std::string const& key, std::chrono::milliseconds deadline);

    mutable std::mutex m_mutex;
    std::vector<RefundReply> m_replies;
    std::atomic<std::size_t> m_replyCount { 0 };
    std::atomic<unsigned> m_queries { 0 };
};

/// The executions of all plain services by Idempotency-Key, or by path for calls without one.
[[nodiscard]] std::map<std::string, Executions> executionsByKey(Cluster const&);

/// Compares the replies with the executions recorded now. The last word for a key is the reply that ended last, unless another
/// request with the key was under way at the same time and was told something else.
[[nodiscard]] AtMostOnceCounts countOutcomes(std::vector<RefundReply> const&, std::map<std::string, Executions> const&);

}
