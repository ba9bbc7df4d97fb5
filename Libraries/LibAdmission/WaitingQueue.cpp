#include <LibAdmission/WaitingQueue.h>

#include <algorithm>
#include <tuple>

namespace Admission {

static std::uint64_t countReleased(WaitingQueue const& queue, std::string const& team)
{
    auto const found = queue.releasedByTeam.find(team);
    return found == queue.releasedByTeam.end() ? 0 : found->second;
}

static void release(WaitingQueue& queue, std::vector<WaitingRequest>::iterator request)
{
    queue.released.push_back(request->id);
    ++queue.releasedByTeam[request->team];
    queue.requests.erase(request);
    if (queue.requests.empty())
        queue.releasedByTeam.clear();
}

std::optional<std::uint64_t> enqueue(WaitingQueue& queue, std::uint32_t priority, std::string const& team, Core::MonotonicTime sendBy, std::size_t maximumLength)
{
    if (queue.requests.size() >= maximumLength)
        return std::nullopt;
    queue.requests.push_back({ queue.nextId, priority, team, sendBy });
    return queue.nextId++;
}

bool next(WaitingQueue& queue)
{
    auto const rank = [&](WaitingRequest const& request) { return std::tuple(request.priority, countReleased(queue, request.team), request.sendBy, request.id); };
    auto const first = std::min_element(queue.requests.begin(), queue.requests.end(), [&](auto const& left, auto const& right) { return rank(left) < rank(right); });
    if (first == queue.requests.end())
        return false;
    release(queue, first);
    return true;
}

std::size_t expire(WaitingQueue& queue, Core::MonotonicTime now)
{
    std::size_t expired = 0;
    while (true) {
        auto const due = std::find_if(queue.requests.begin(), queue.requests.end(), [&](auto const& request) { return request.sendBy <= now; });
        if (due == queue.requests.end())
            return expired;
        release(queue, due);
        ++expired;
    }
}

void cancel(WaitingQueue& queue, std::uint64_t id)
{
    std::erase_if(queue.requests, [&](auto const& request) { return request.id == id; });
    std::erase(queue.released, id);
    if (queue.requests.empty())
        queue.releasedByTeam.clear();
}

bool takeReleased(WaitingQueue& queue, std::uint64_t id)
{
    return std::erase(queue.released, id) > 0;
}

}
