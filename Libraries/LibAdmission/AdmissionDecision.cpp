#include <LibAdmission/AdmissionDecision.h>

#include <algorithm>
#include <cmath>

namespace Admission {

using namespace std::chrono_literals;

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Admit:
        return "admit";
    case Verdict::Wait:
        return "wait";
    case Verdict::Refuse:
        return "refuse";
    }
    return "";
}

std::string_view reasonName(Reason reason)
{
    switch (reason) {
    case Reason::Calm:
        return "calm";
    case Reason::WithinShare:
        return "within_share";
    case Reason::NoRoom:
        return "no_room";
    case Reason::TooLate:
        return "too_late";
    case Reason::Overload:
        return "overload";
    case Reason::TeamAboveUsual:
        return "team_above_usual";
    }
    return "";
}

double refusedShare(double level, double urgencyRank, double relativeSize, TeamStanding const& team, Parameters const& parameters)
{
    if (level <= 0)
        return 0;
    double const spreadLevel = std::min(level / parameters.fullSpreadShare, 1.0);
    double share = level * (1 + parameters.urgencySpread) - parameters.urgencySpread * (1 - urgencyRank);
    share += spreadLevel * parameters.sizeSpread * std::clamp(std::log2(std::max(relativeSize, 1e-3)), -1.0, 1.0);
    share += spreadLevel * (parameters.teamSpread * team.aboveUsual - parameters.reliefOfOthers * team.demandAboveUsual * (1 - team.aboveUsual));
    double const most = parameters.maximumRefusedShare + team.aboveUsual * (parameters.maximumRefusedShareAboveUsual - parameters.maximumRefusedShare);
    return std::clamp(share, 0.0, most);
}

// How long a client waits for the first event; the platform's clients wait longer if the route's pauses are long, which no table tells.
static double patienceOf(RequestProfile const& request)
{
    static constexpr double minimumSeconds = 2;
    static constexpr double objectives = 4;
    return std::max(minimumSeconds, objectives * request.objectiveSeconds);
}

// The probability with which a request is refused that could hardly be served in time.
static double hopelessShare(double delaySeconds, RequestProfile const& request, Parameters const& parameters)
{
    double const ratio = delaySeconds / std::max(std::min(request.timeLeftSeconds, patienceOf(request)), 1e-3);
    return parameters.hopelessShare * std::clamp((ratio - parameters.hopelessFrom) / (parameters.hopelessFull - parameters.hopelessFrom), 0.0, 1.0);
}

// The client of a refused request returns with less time left than is usual on the route.
static bool hasProbablyReturned(RequestProfile const& request, RouteDelays const& route)
{
    static constexpr double usualShare = 0.97;
    return request.timeLeftSeconds < usualShare * route.usualTimeLeftSeconds;
}

std::chrono::milliseconds chooseRetryAfter(double delaySeconds, RequestProfile const& request, Parameters const& parameters, Core::Random& random)
{
    // Short times would bring most clients back before anything has changed.
    static constexpr double shortestShare = 0.3;
    double const minimum = std::chrono::duration<double>(parameters.minimumRetryAfter).count();
    double const maximum = std::chrono::duration<double>(parameters.maximumRetryAfter).count();
    double const most = std::clamp(request.timeLeftSeconds * parameters.retryShareOfTimeLeft, minimum, maximum);
    double const range = std::clamp(std::max(delaySeconds * parameters.retryShareOfDelay, (request.objectiveSeconds - delaySeconds) * parameters.retryShareOfSlack), minimum, most);
    double const seconds = std::clamp(range * (shortestShare + (1 - shortestShare) * random.unit()), minimum, most);
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

Decision decideAdmission(ServiceState const& state, RequestProfile const& request, TeamStanding const& team, ServerLoad const& load, Parameters const& parameters, Core::Random& random, Core::MonotonicTime now)
{
    // Refusals count as caused by the team from here.
    static constexpr double clearlyAboveUsual = 0.25;
    Decision decision;
    auto const found = state.routes.find(request.route);
    if (load.usableServers == 0 || state.samples < parameters.minimumSamples || found == state.routes.end())
        return decision;
    auto const& route = found->second;
    decision.delaySeconds = predictDelay(state, request.route, request.tokens, load, parameters, now);
    decision.pressure = pressureAt(state, request.priority, load, parameters, now);
    if (random.unit() < hopelessShare(decision.delaySeconds, request, parameters)) {
        decision.verdict = Verdict::Refuse;
        decision.reason = Reason::TooLate;
        decision.refusedShare = parameters.hopelessShare;
    } else if (!request.isResumed) {
        double const relativeSize = route.usualTokens > 0 && request.tokens > 0 ? request.tokens / route.usualTokens : 1;
        decision.refusedShare = refusedShare(refusalLevel(state, request.priority, decision.pressure, load, parameters), urgencyRank(state, request.priority, now), relativeSize, team, parameters);
        if (hasProbablyReturned(request, route))
            decision.refusedShare *= parameters.returnedFactor;
        bool const isRefused = random.unit() < decision.refusedShare;
        decision.verdict = isRefused ? Verdict::Refuse : Verdict::Admit;
        decision.reason = !isRefused ? (decision.refusedShare > 0 ? Reason::WithinShare : Reason::Calm) : team.aboveUsual >= clearlyAboveUsual ? Reason::TeamAboveUsual
                                                                                                                                               : Reason::Overload;
    }
    if (decision.verdict == Verdict::Refuse) {
        decision.retryAfter = chooseRetryAfter(decision.delaySeconds, request, parameters, random);
    } else if (load.freeSlots == 0) {
        decision.verdict = Verdict::Wait;
        decision.reason = Reason::NoRoom;
    }
    return decision;
}

}
