#include <LibHTTP/ClientBudgets.h>

#include <LibCore/Log.h>
#include <fstream>
#include <malloc.h>
#include <numeric>
#include <sys/resource.h>
#include <unistd.h>

namespace HTTP {

using namespace std::chrono_literals;

ProcessLimits processLimitsOnHost(std::size_t hostMegabytes, std::size_t addresses)
{
    static constexpr std::size_t bytesPerMegabyte = 1'000'000;
    rlimit descriptors {};
    bool const isLimited = getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY;
    return processLimits(hostMegabytes * bytesPerMegabyte, isLimited ? descriptors.rlim_cur : SIZE_MAX, addresses - 1);
}

ClientBudgets::ClientBudgets(Core::Runtime& runtime, Core::Metrics& metrics, std::vector<std::string> addresses, ProcessLimits const& limits)
    : m_runtime(runtime)
    , m_metrics(metrics)
    , m_addresses(std::move(addresses))
{
    for (auto const& address : m_addresses) {
        auto& budget = m_budgets.emplace_back(std::make_shared<MemoryBudget>(runtime));
        budget->onRefusal([this, address](std::string_view reason) {
            ++m_refusals[{ address, std::string(reason) }];
            m_metrics.counter("hyssopstep_clients_refused_total", { { "address", address }, { "reason", std::string(reason) } }).add();
        });
    }
    setLimits(limits);
}

ClientBudgets::~ClientBudgets()
{
    for (auto const& budget : m_budgets)
        budget->onRefusal({});
}

void ClientBudgets::setLimits(ProcessLimits const& limits)
{
    for (auto const& budget : m_budgets)
        budget->setLimits(budget == m_budgets.front() ? limits.clients : limits.other);
}

void ClientBudgets::tick()
{
    logRefusals();
    returnFreedMemory();
}

void ClientBudgets::updateMetrics()
{
    for (std::size_t i = 0; i < m_budgets.size(); ++i) {
        Core::MetricLabels const labels { { "address", m_addresses[i] } };
        m_metrics.gauge("hyssopstep_client_bytes_held", labels).set(static_cast<double>(m_budgets[i]->use().bytes));
        m_metrics.gauge("hyssopstep_client_connections", labels).set(static_cast<double>(m_budgets[i]->connections()));
    }
    m_metrics.gauge("hyssopstep_responses_waiting_for_memory").set(static_cast<double>(m_budgets.front()->waitingResponses()));
}

std::size_t ClientBudgets::bytesHeld() const
{
    return std::accumulate(m_budgets.begin(), m_budgets.end(), std::size_t(0), [](std::size_t sum, auto const& budget) { return sum + budget->use().bytes; });
}

// A crowd of clients must not use up the lines that are left for others.
void ClientBudgets::logRefusals()
{
    static constexpr Core::Duration interval = 1s;
    auto const now = m_runtime.now();
    if (m_refusals.empty() || now - m_refusalsLoggedAt < interval)
        return;
    m_refusalsLoggedAt = now;
    for (auto const& [key, count] : std::exchange(m_refusals, {}))
        Core::logEvent(Core::LogLevel::Warning, "clients_refused", { { "address", key.first }, { "reason", key.second }, { "clients", count }, { "bytes_held", std::uint64_t(bytesHeld()) } });
}

// Bytes of the process in memory; 0 if the system does not tell.
static std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    file >> totalPages >> residentPages;
    return residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// The allocator keeps blocks below 128 KB that were freed between others. After a crowd of clients that was 27 MB, which the next crowd did
// not use fully; the check and the return take time, so that they wait until much has been released.
void ClientBudgets::returnFreedMemory()
{
    auto const limit = m_budgets.front()->limits().bytes;
    auto const released = std::accumulate(m_budgets.begin(), m_budgets.end(), std::uint64_t(0), [](std::uint64_t sum, auto const& budget) { return sum + budget->releasedBytes(); });
    if (released - m_returnedAtReleasedBytes < limit / 4)
        return;
    m_returnedAtReleasedBytes = released;
    // A quarter of the host's memory for the program and its tables.
    if (residentBytes() > bytesHeld() + limit / 2)
        malloc_trim(0);
}

}
