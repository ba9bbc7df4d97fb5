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

/// The reply of a node to one request of a client.
struct RefundReply {
    std::string key;
    std::chrono::steady_clock::time_point sentAt;
    std::chrono::steady_clock::time_point endedAt;
    /// 0 if there was no response.
    unsigned status { 0 };
    /// The error kind and run state of a refusal, otherwise empty.
    std::string kind;
    std::string runState;
    std::string body;

    [[nodiscard]] bool isAnswer() const { return status != 0 && runState.empty(); }
};

/// The executions that the back ends recorded for one key.
struct Executions {
    std::size_t count { 0 };
    std::set<std::int64_t> numbers;
};

/// Counts of the requests of one scenario, by outcome and violation.
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
    /// Requests without an answer or refusal within the deadline plus RefundClients::margin.
    std::size_t lost { 0 };

    [[nodiscard]] std::string toString() const;
};

/// Sends refunds and queries to nodes and records the replies. Thread safe.
class RefundClients {
public:
    /// Sends one refund and records the reply.
    RefundReply send(ClusterNode const&, std::string const& key, std::chrono::milliseconds deadline = std::chrono::seconds(3));

    /// Sends an idempotent stock query and records the reply. The key of the reply is the path, which is unique.
    RefundReply sendQuery(ClusterNode const&, std::chrono::milliseconds deadline = std::chrono::seconds(3));

    [[nodiscard]] std::size_t replyCount() const { return m_replyCount; }
    [[nodiscard]] std::vector<RefundReply> replies() const;

    /// How long a request may exceed its deadline: 500 ms to record the answer, and delays of a busy machine.
    static constexpr std::chrono::milliseconds margin { 3000 };

private:
    RefundReply exchange(ClusterNode const&, HTTP::Request, std::string const& key, std::chrono::milliseconds deadline);

    mutable std::mutex m_mutex;
    std::vector<RefundReply> m_replies;
    std::atomic<std::size_t> m_replyCount { 0 };
    std::atomic<unsigned> m_queries { 0 };
};

/// Returns the executions of all plain services by Idempotency-Key, or by path for calls without a key.
[[nodiscard]] std::map<std::string, Executions> executionsByKey(Cluster const&);

/// Compares the replies with the recorded executions. A "not run" counts as wrong for an executed key if it is the final reply for
/// the key: every other reply had ended before the request was sent, has the same run state, or has no response.
[[nodiscard]] AtMostOnceCounts countOutcomes(std::vector<RefundReply> const&, std::map<std::string, Executions> const&);

}
