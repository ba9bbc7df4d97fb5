#pragma once

#include <LibCore/Metrics.h>
#include <LibHTTP/MemoryBudget.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace HTTP {

/// Limits for a process on a host of so many megabytes, with its descriptors (`ulimit -n`), which listens at so many addresses. Thread safe.
[[nodiscard]] ProcessLimits processLimitsOnHost(std::size_t hostMegabytes, std::size_t addresses);

/// What a process holds for those who connect to it, with a budget for each listening address: a crowd at one address takes nothing from the
/// others. Counts refusals, logs them, and returns freed memory to the system. Used from the runtime's thread only.
class ClientBudgets {
public:
    /// Takes the names of the addresses for metrics and logs; the first is the one for clients, the others have short requests. Precondition: the
    /// runtime and the metrics outlive this object.
    ClientBudgets(Core::Runtime&, Core::Metrics&, std::vector<std::string> addresses, ProcessLimits const&);
    /// Tasks of connections may outlive this object.
    ~ClientBudgets();
    ClientBudgets(ClientBudgets const&) = delete;
    ClientBudgets& operator=(ClientBudgets const&) = delete;

    /// Precondition: there is an address of this number, counted from 0.
    [[nodiscard]] std::shared_ptr<MemoryBudget> const& of(std::size_t address) const { return m_budgets.at(address); }

    void setLimits(ProcessLimits const&);

    /// Called some times in a second.
    void tick();

    /// Sets the gauges. Called before the metrics are rendered.
    void updateMetrics();

private:
    [[nodiscard]] std::size_t bytesHeld() const;
    void logRefusals();
    void returnFreedMemory();

    Core::Runtime& m_runtime;
    Core::Metrics& m_metrics;
    std::vector<std::string> m_addresses;
    /// In the order of the addresses.
    std::vector<std::shared_ptr<MemoryBudget>> m_budgets;
    /// Clients refused since the last log lines, by address and reason.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_refusals;
    Core::MonotonicTime m_refusalsLoggedAt {};
    /// Of all budgets, when freed memory was last returned to the system.
    std::uint64_t m_returnedAtReleasedBytes { 0 };
};

}
