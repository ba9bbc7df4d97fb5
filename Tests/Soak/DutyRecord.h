#pragma once

#include <LibHTTP/Server.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Soak {

/// A call that the platform's duty interface accepted.
struct DutyCall {
    /// Index of the sender, whatever name the call bears.
    std::size_t node { 0 };
    std::string duty;
    std::string subject;
    std::uint64_t token { 0 };
    /// Window and counts of a usage report.
    std::int64_t window { 0 };
    std::string counts;
    Core::MonotonicTime arrivedAt {};
    /// The rules about the order of holders and tokens do not count the call: its sender was just thawed or its link to the store just
    /// healed, or the platform is or just was in disruption.
    bool isExcused { false };

    bool operator==(DutyCall const&) const = default;
};

/// Returns one line for each violation: different counts of one usage window; a token of two nodes, or a lower token than before, for a
/// duty and subject; a node that acts again within the lease time after another did. Thread safe.
[[nodiscard]] std::vector<std::string> findDutyViolations(std::vector<DutyCall> const&, Core::Duration leaseTime);

/// The platform's duty interface, with an endpoint for each node. Accepts every well-formed call. Runs on the soak's event loop.
class DutyRecord {
public:
    /// The function tells whether a call that now arrives from a node is excused.
    DutyRecord(Core::Runtime&, std::function<bool(std::size_t node)> isExcused);

    /// Listens for the calls of the next node on a port of the loopback interface.
    [[nodiscard]] Core::Endpoint addNode();

    [[nodiscard]] std::vector<DutyCall> const& calls() const { return m_calls; }

private:
    [[nodiscard]] HTTP::Response accept(std::size_t node, HTTP::Request const&);

    Core::Runtime& m_runtime;
    std::function<bool(std::size_t node)> m_isExcused;
    std::vector<DutyCall> m_calls;
    std::vector<std::unique_ptr<HTTP::Server>> m_servers;
};

}
