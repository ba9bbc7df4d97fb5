#include <LibLimits/Shedding.h>

#include <algorithm>
#include <cmath>

namespace Limits {

static constexpr double halfLifeSeconds = 5;

static double decayedSeconds(WorkByTeam::Row const& row, Core::MonotonicTime now)
{
    double const elapsed = std::chrono::duration<double>(now - row.updatedAt).count();
    return row.seconds * std::exp2(-std::max(elapsed, 0.0) / halfLifeSeconds);
}

void recordAdmittedWork(WorkByTeam& work, std::string_view team, double seconds, Core::MonotonicTime now)
{
    auto& row = work.rows[std::string(team)];
    row.seconds = decayedSeconds(row, now) + seconds;
    row.updatedAt = now;
}

TeamShare teamShare(WorkByTeam const& work, std::map<std::string, double, std::less<>> const& shares, std::string_view team, Core::MonotonicTime now)
{
    // A team without recent work does not reduce the fair shares of the others.
    static constexpr double minimumWorkSeconds = 0.01;
    double ownWork = 0;
    double totalWork = 0;
    double ownShare = 0;
    double totalShare = 0;
    for (auto const& [name, share] : shares) {
        auto const found = work.rows.find(name);
        double const seconds = found == work.rows.end() ? 0 : decayedSeconds(found->second, now);
        bool const isOwn = name == team;
        ownWork += isOwn ? seconds : 0;
        ownShare += isOwn ? share : 0;
        totalWork += seconds;
        totalShare += isOwn || seconds > minimumWorkSeconds ? share : 0;
    }
    TeamShare result;
    result.workShare = totalWork > 0 ? ownWork / totalWork : 0;
    result.fairShare = totalShare > 0 ? ownShare / totalShare : 1;
    return result;
}

std::optional<std::chrono::milliseconds> decideShedding(TeamShare const& teamShare, double relativeWork, double queueSeconds, double toleratedSeconds)
{
    // The minimum admits a team above its fair share again before the queue is empty; the maximum bounds the wait of a small team.
    static constexpr double minimumFactor = 0.25;
    static constexpr double maximumFactor = 4;
    double const factor = teamShare.workShare > 0 ? std::clamp(teamShare.fairShare / teamShare.workShare, minimumFactor, maximumFactor) : maximumFactor;
    double const sizeFactor = std::clamp(1 / std::max(relativeWork, 1e-3), 1.0, maximumFactor * maximumFactor);
    double const excess = queueSeconds - factor * sizeFactor * toleratedSeconds;
    if (excess <= 0)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(excess));
}

}
