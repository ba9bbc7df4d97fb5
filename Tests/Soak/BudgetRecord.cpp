#include <Soak/BudgetRecord.h>

#include <algorithm>

namespace Soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// What the platform allows a deadline to be late, and the time after which it checks a repeat and a pause.
static constexpr Core::Duration tolerance = 500ms;

// Counts the times within a window, its end included.
static std::size_t countInWindow(std::vector<Core::MonotonicTime> const& times, Core::MonotonicTime end, Core::Duration window)
{
    return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), end) - std::upper_bound(times.begin(), times.end(), end - window));
}

std::vector<std::string> findRetryViolations(std::vector<SentRequest> const& requests, std::vector<Arrival> const& arrivals, RetryLimits const& limits)
{
    std::vector<Core::MonotonicTime> sent;
    std::transform(requests.begin(), requests.end(), std::back_inserter(sent), [](auto const& request) { return request.sentAt; });
    std::sort(sent.begin(), sent.end());
    std::set<std::string> seen;
    std::vector<Core::MonotonicTime> repeats;
    for (auto const& arrival : arrivals) {
        if (!seen.insert(arrival.requestId).second)
            repeats.push_back(arrival.arrivedAt);
    }
    double largestExcess = 0;
    std::string worst;
    auto const checkWindow = [&](Core::MonotonicTime end) {
        auto const count = countInWindow(repeats, end, limits.window);
        auto const requestCount = std::max({ countInWindow(sent, end, limits.window), countInWindow(sent, end - limits.window / 2, limits.window), countInWindow(sent, end - limits.window, limits.window) });
        auto const excess = static_cast<double>(count) - limits.ratio * static_cast<double>(requestCount) - limits.slack;
        if (excess <= largestExcess)
            return;
        largestExcess = excess;
        worst = std::to_string(count) + " repeats of " + std::to_string(requestCount) + " requests reached servers in a window, " + std::to_string(excess) + " too many";
    };
    for (auto const time : repeats) {
        checkWindow(time);
        // The window that begins with this repeat.
        checkWindow(time + limits.window - 1ns);
    }
    return worst.empty() ? std::vector<std::string> {} : std::vector<std::string> { worst };
}

std::vector<std::string> findDeadlineViolations(std::vector<SentRequest> const& requests, std::vector<Arrival> const& arrivals)
{
    std::map<std::string, SentRequest> requestsById;
    for (auto const& request : requests)
        requestsById.emplace(request.id, request);
    std::map<std::string, Arrival> firstArrivals;
    std::vector<std::string> violations;
    for (auto const& arrival : arrivals) {
        auto const found = requestsById.find(arrival.requestId);
        auto const description = arrival.requestId + " at " + arrival.path + " reached " + arrival.server;
        if (found == requestsById.end()) {
            violations.push_back(description + ", but no client sent it");
            continue;
        }
        auto const& request = found->second;
        if (!arrival.deadline || *arrival.deadline > request.deadline + tolerance) {
            violations.push_back(description + " with " + (arrival.deadline ? std::to_string(arrival.deadline->count()) + " ms left" : "no deadline"));
            continue;
        }
        auto const& first = firstArrivals.try_emplace(arrival.requestId, arrival).first->second;
        bool const isLateRepeat = arrival.arrivedAt > first.arrivedAt + tolerance;
        auto const latestEnd = std::max(first.arrivedAt + *first.deadline, request.sentAt + request.deadline) + tolerance;
        if (isLateRepeat && !arrival.isHeldUp && arrival.arrivedAt + *arrival.deadline > latestEnd)
            violations.push_back(description + " once more, with " + std::to_string(arrival.deadline->count()) + " ms left");
    }
    return violations;
}

std::vector<std::string> findAttemptViolations(std::map<std::string, std::set<std::string>> const& serversOfRequest, std::size_t maxAttempts)
{
    // The platform allows three such requests.
    static constexpr std::ptrdiff_t allowedRequests = 3;
    auto const count = std::count_if(serversOfRequest.begin(), serversOfRequest.end(), [&](auto const& entry) { return entry.second.size() > maxAttempts; });
    if (count <= allowedRequests)
        return {};
    return { std::to_string(count) + " requests were executed at more than " + std::to_string(maxAttempts) + " servers" };
}

std::vector<std::string> findRetryAfterViolations(std::vector<Arrival> const& arrivals, std::vector<Disturbance> const& disturbances)
{
    // The platform allows two requests in a pause.
    static constexpr std::ptrdiff_t allowedRequests = 2;
    std::map<std::string, std::vector<Arrival>> arrivalsByServer;
    for (auto const& arrival : arrivals)
        arrivalsByServer[arrival.server].push_back(arrival);
    std::vector<std::string> violations;
    for (auto const& [server, received] : arrivalsByServer) {
        for (auto const& refused : received) {
            if (!refused.retryAfter)
                continue;
            auto const end = refused.arrivedAt + *refused.retryAfter;
            if (std::any_of(disturbances.begin(), disturbances.end(), [&](auto const& disturbance) { return disturbance.from <= end && disturbance.to >= refused.arrivedAt; }))
                continue;
            auto const count = std::count_if(received.begin(), received.end(), [&](auto const& other) { return other.arrivedAt > refused.arrivedAt + tolerance && other.arrivedAt < end; });
            if (count > allowedRequests)
                violations.push_back(std::to_string(count) + " requests reached " + server + " in the pause after it had refused " + refused.requestId);
        }
    }
    return violations;
}

}
