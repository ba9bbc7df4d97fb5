#include <LibAdmission/DelayPrediction.h>

#include <LibRouting/Placement.h>
#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace Admission {

using namespace std::chrono_literals;

static constexpr Core::Duration routeLifetime = 10s;
static constexpr std::uint32_t minimumRouteSamples = 3;
static constexpr std::size_t maximumRecent = 24;

static double secondsOf(Core::Duration duration)
{
    return std::max(std::chrono::duration<double>(duration).count(), 0.0);
}

void addSample(DecayingMean& mean, double value, double timeConstant, Core::MonotonicTime now)
{
    double const factor = std::exp(-secondsOf(now - mean.updatedAt) / timeConstant);
    mean.sum = mean.sum * factor + value;
    mean.weight = mean.weight * factor + 1;
    mean.updatedAt = now;
}

double meanOf(DecayingMean const& mean, double prior, double priorWeight, double timeConstant, Core::MonotonicTime now)
{
    double const factor = std::exp(-secondsOf(now - mean.updatedAt) / timeConstant);
    double const weight = mean.weight * factor + priorWeight;
    return weight > 0 ? (mean.sum * factor + prior * priorWeight) / weight : prior;
}

// How much slower than the median of its service a server is. Without recent measurements it counts as usual.
static double slownessOf(Routing::ServerRow const& row, double medianServiceTime, Core::MonotonicTime now)
{
    static constexpr std::uint32_t minimumSamples = 3;
    static constexpr Core::Duration lifetime = 5s;
    static constexpr double maximumSlowness = 4;
    if (medianServiceTime <= 0 || row.serviceTime.samples < minimumSamples || now - row.serviceTime.lastAt > lifetime)
        return 1;
    return std::clamp(row.serviceTime.secondsPerUnit / medianServiceTime, 1.0, maximumSlowness);
}

ServerLoad measureLoad(Routing::ServerTable const& table, std::string_view service, Core::MonotonicTime now)
{
    std::vector<Routing::ServerRow const*> usable;
    std::vector<double> serviceTimes;
    for (auto const& row : table.rows) {
        if (row.service != service || row.lifecycle != Routing::Lifecycle::Live || Routing::isAbsent(row, now) || Routing::isPaused(table, row, now) || row.backoffUntil > now)
            continue;
        usable.push_back(&row);
        if (row.serviceTime.samples > 0)
            serviceTimes.push_back(row.serviceTime.secondsPerUnit);
    }
    double medianServiceTime = 0;
    if (!serviceTimes.empty()) {
        auto const middle = serviceTimes.begin() + static_cast<std::ptrdiff_t>(serviceTimes.size() / 2);
        std::nth_element(serviceTimes.begin(), middle, serviceTimes.end());
        medianServiceTime = *middle;
    }
    ServerLoad load { .usableServers = usable.size(), .freeSlots = usable.empty() ? SIZE_MAX : 0 };
    std::vector<double> requests;
    for (auto const* row : usable) {
        auto const inProgress = Routing::requestsInProgress(*row);
        if (row->slots == 0)
            load.freeSlots = SIZE_MAX;
        else if (load.freeSlots != SIZE_MAX)
            load.freeSlots += row->slots - std::min(inProgress, row->slots);
        requests.push_back(inProgress * slownessOf(*row, medianServiceTime, now));
    }
    auto const half = (requests.size() + 1) / 2;
    std::partial_sort(requests.begin(), requests.begin() + static_cast<std::ptrdiff_t>(half), requests.end());
    for (std::size_t i = 0; i < half; ++i)
        load.requestsPerServer += requests[i] / static_cast<double>(half);
    return load;
}

// The prefix of a prompt is often in the server's cache, so the delay grows less than the number of tokens.
static double sizeFactor(RouteDelays const& route, double tokens)
{
    static constexpr double smallest = 0.5;
    static constexpr double largest = 2;
    if (route.usualTokens <= 0 || tokens <= 0)
        return 1;
    return std::clamp(std::sqrt(tokens / route.usualTokens), smallest, largest);
}

void recordArrival(ServiceState& state, RequestProfile const& request, Core::MonotonicTime now)
{
    static constexpr double weight = 0.05;
    auto& route = state.routes[std::string(request.route)];
    route.priority = request.priority;
    route.objectiveSeconds = request.objectiveSeconds;
    route.usualTokens += (route.usualTokens > 0 ? weight : 1) * (request.tokens - route.usualTokens);
    route.usualTimeLeftSeconds += (route.usualTimeLeftSeconds > 0 ? weight : 1) * (request.timeLeftSeconds - route.usualTimeLeftSeconds);
    route.lastRequestAt = now;
}

std::uint64_t recordSent(ServiceState& state, Core::MonotonicTime now)
{
    state.recent.push_back({ .ticket = state.nextTicket, .sentAt = now });
    if (state.recent.size() > maximumRecent)
        state.recent.pop_front();
    return state.nextTicket++;
}

static SentRequest* findSent(ServiceState& state, std::uint64_t ticket)
{
    auto const found = std::find_if(state.recent.begin(), state.recent.end(), [&](auto const& sent) { return sent.ticket == ticket; });
    return found == state.recent.end() ? nullptr : &*found;
}

// By which factor the excess delay on a route differs from that of its service, as engines start urgent requests first.
static double excessFactor(RouteDelays const& route, Parameters const& parameters, Core::MonotonicTime now)
{
    static constexpr double smallest = 0.05;
    static constexpr double largest = 4;
    // Seconds of excess; in calm there is too little excess to compare.
    static constexpr double prior = 1;
    auto const decayedSum = [&](DecayingMean const& mean) { return mean.sum * std::exp(-secondsOf(now - mean.updatedAt) / parameters.routeMemory); };
    return std::clamp((decayedSum(route.excess) + prior) / (decayedSum(route.serviceExcess) + prior), smallest, largest);
}

// Follows lower delays, which contain less queueing, within some samples, and higher ones within minutes: a long overload must not become
// the calm delay.
static void followCalmDelay(double& calm, std::uint32_t samples, double delay, double elapsed)
{
    static constexpr double weightDown = 0.1;
    static constexpr std::uint32_t initialSamples = 4;
    static constexpr double initialWeightDown = 0.5;
    static constexpr double secondsUp = 60;
    static constexpr double maximumWeightUp = 0.02;
    if (samples == 0)
        calm = delay;
    else if (delay < calm)
        calm += (samples < initialSamples ? initialWeightDown : weightDown) * (delay - calm);
    else
        calm += std::min(elapsed / secondsUp, maximumWeightUp) * std::min(delay - calm, calm);
}

void recordFirstEvent(ServiceState& state, std::uint64_t ticket, RequestProfile const& request, double delaySeconds, double loadAtSend, Parameters const& parameters, Core::MonotonicTime now)
{
    if (auto* sent = findSent(state, ticket))
        sent->delaySeconds = delaySeconds;
    auto& route = state.routes[std::string(request.route)];
    double const normalised = delaySeconds / sizeFactor(route, request.tokens);
    double const elapsed = secondsOf(now - route.recentExcess.updatedAt);
    followCalmDelay(route.calmSeconds, route.samples, normalised, elapsed);
    followCalmDelay(state.calmSeconds, state.samples, delaySeconds, secondsOf(now - state.excess.updatedAt));
    ++route.samples;
    ++state.samples;
    double const excess = std::max(delaySeconds - route.calmSeconds * sizeFactor(route, request.tokens), 0.0);
    addSample(route.excess, excess, parameters.routeMemory, now);
    addSample(route.serviceExcess, meanOf(state.excess, 0, parameters.calmWeight, parameters.delayMemory, now), parameters.routeMemory, now);
    addSample(route.recentExcess, excess, parameters.routeDelayMemory, now);
    addSample(state.excess, excess / excessFactor(route, parameters, now), parameters.delayMemory, now);
    addSample(state.loadAtSend, loadAtSend, parameters.delayMemory, now);
}

void recordEnd(ServiceState& state, std::uint64_t ticket)
{
    std::erase_if(state.recent, [&](auto const& sent) { return sent.ticket == ticket && !sent.delaySeconds; });
}

// From 0 to 1, by the requests per server relative to their usual number.
static double loadGate(ServiceState const& state, ServerLoad const& load, Parameters const& parameters)
{
    // Placement differs by this much between servers that are hardly loaded.
    static constexpr double smallestLoad = 1;
    double const ratio = load.requestsPerServer / std::max(state.usualLoad, smallestLoad);
    return std::clamp((ratio - parameters.loadRatioFrom) / (parameters.loadRatioFull - parameters.loadRatioFrom), 0.0, 1.0);
}

void updatePressure(ServiceState& state, ServerLoad const& load, Parameters const& parameters, Core::MonotonicTime now)
{
    // An overload must not become the usual load.
    static constexpr double calmPressure = 0.5;
    // The time between two ticks, unless the process was suspended.
    static constexpr double longestTick = 1;
    if (load.usableServers == 0)
        return;
    double const elapsed = std::min(secondsOf(now - state.updatedAt), longestTick);
    state.updatedAt = now;
    for (auto& [name, route] : state.routes) {
        double const pressure = pressureAt(state, route.priority, load, parameters, now);
        route.sustainedLevel = std::clamp(route.sustainedLevel + elapsed * parameters.growthRate * (pressure - parameters.targetPressure) * (pressure > parameters.targetPressure ? loadGate(state, load, parameters) : 1), 0.0, 1.0);
    }
    if (load.requestsPerServer > state.usualLoad && pressureAt(state, UINT32_MAX, load, parameters, now) > calmPressure)
        return;
    state.usualLoad += (1 - std::exp(-elapsed / parameters.usualLoadMemory)) * (load.requestsPerServer - state.usualLoad);
}

// The median time that the requests of the last seconds have waited so far, if most of them still wait.
static std::optional<double> medianWaitSoFar(ServiceState const& state, Core::MonotonicTime now)
{
    static constexpr Core::Duration window = 5s;
    static constexpr std::size_t minimumRequests = 8;
    std::vector<double> waits;
    std::size_t waiting = 0;
    for (auto const& sent : state.recent) {
        if (now - sent.sentAt > window)
            continue;
        waiting += sent.delaySeconds ? 0 : 1;
        waits.push_back(sent.delaySeconds.value_or(secondsOf(now - sent.sentAt)));
    }
    if (waits.size() < minimumRequests || 2 * waiting <= waits.size())
        return std::nullopt;
    auto const middle = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
    std::nth_element(waits.begin(), middle, waits.end());
    return *middle;
}

// The excess delay of the service, without the difference between its routes, for a request that is sent now.
static double expectedExcess(ServiceState const& state, ServerLoad const& load, Parameters const& parameters, Core::MonotonicTime now)
{
    double const measured = meanOf(state.excess, 0, parameters.calmWeight, parameters.delayMemory, now);
    double const loadAtSend = meanOf(state.loadAtSend, load.requestsPerServer, parameters.calmWeight, parameters.delayMemory, now);
    double const trend = parameters.trendShare * std::min(state.calmSeconds, parameters.maximumTrendPerRequest) * (load.requestsPerServer - loadAtSend);
    // More than twice the measured delay is not believed before it is measured, since further requests may be past their first event.
    double const most = std::max(measured + state.calmSeconds, parameters.minimumTrendLimit);
    double const waited = medianWaitSoFar(state, now).value_or(0);
    return std::max({ measured + std::min(trend, most), waited - state.calmSeconds, 0.0 });
}

static double expectedExcessOf(RouteDelays const& route, ServiceState const& state, ServerLoad const& load, Parameters const& parameters, Core::MonotonicTime now)
{
    double const factor = excessFactor(route, parameters, now);
    double const service = factor * expectedExcess(state, load, parameters, now);
    double const measured = factor * meanOf(state.excess, 0, parameters.calmWeight, parameters.delayMemory, now);
    double const own = meanOf(route.recentExcess, measured, parameters.serviceWeight, parameters.routeDelayMemory, now);
    // What the service's delay is expected to change by is added to the route's own.
    return std::max(own + service - measured, 0.0);
}

double predictDelay(ServiceState const& state, std::string_view name, double tokens, ServerLoad const& load, Parameters const& parameters, Core::MonotonicTime now)
{
    auto const found = state.routes.find(name);
    if (found == state.routes.end())
        return expectedExcess(state, load, parameters, now);
    auto const& route = found->second;
    return route.calmSeconds * sizeFactor(route, tokens) + expectedExcessOf(route, state, load, parameters, now);
}

double pressureAt(ServiceState const& state, std::uint32_t priority, ServerLoad const& load, Parameters const& parameters, Core::MonotonicTime now)
{
    if (state.samples < parameters.minimumSamples || load.usableServers == 0)
        return 0;
    double pressure = 0;
    for (auto const& [name, route] : state.routes) {
        if (route.samples < minimumRouteSamples || route.priority > priority || now - route.lastRequestAt > routeLifetime)
            continue;
        pressure = std::max(pressure, (route.calmSeconds + expectedExcessOf(route, state, load, parameters, now)) / std::max(route.objectiveSeconds, 1e-3));
    }
    return pressure;
}

double refusalLevel(ServiceState const& state, std::uint32_t priority, double pressure, ServerLoad const& load, Parameters const& parameters)
{
    double sustained = 0;
    for (auto const& [name, route] : state.routes)
        sustained = std::max(sustained, route.priority <= priority ? route.sustainedLevel : 0);
    double const instant = std::max((pressure - parameters.startPressure) / (parameters.fullPressure - parameters.startPressure), 0.0);
    double const allowed = std::clamp((pressure - parameters.noRefusalPressure) / (parameters.fullRefusalPressure - parameters.noRefusalPressure), 0.0, 1.0);
    return std::min((instant + sustained) * allowed, 1.0) * loadGate(state, load, parameters);
}

double urgencyRank(ServiceState const& state, std::uint32_t priority, Core::MonotonicTime now)
{
    std::set<std::uint32_t> priorities { priority };
    for (auto const& [name, route] : state.routes) {
        if (now - route.lastRequestAt <= routeLifetime)
            priorities.insert(route.priority);
    }
    if (priorities.size() == 1)
        return 1;
    auto const place = static_cast<double>(std::distance(priorities.begin(), priorities.find(priority)));
    return place / static_cast<double>(priorities.size() - 1);
}

}
