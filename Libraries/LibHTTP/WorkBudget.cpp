#include <LibHTTP/WorkBudget.h>

#include <algorithm>

namespace HTTP {

double workOf(RequestShape const& shape)
{
    // More than any client sends that is not written to be costly.
    static constexpr double partsOfAnOrdinaryRequest = 128;
    // An element is split off, compared and hashed; a field also has memory of its own.
    static constexpr double unitsPerListElement = 0.5;
    static constexpr double unitsOfARequestSentAhead = 100;
    auto const parts = static_cast<double>(shape.fields) + unitsPerListElement * static_cast<double>(shape.listElements);
    return std::max(parts - partsOfAnOrdinaryRequest, 0.0) + (shape.isSentAhead ? unitsOfARequestSentAhead : 0);
}

double workOfChunks(std::size_t chunks, std::size_t bytes)
{
    static constexpr double unitsPerChunk = 0.1;
    static constexpr std::size_t bytesOfAnOrdinaryChunk = 256;
    return unitsPerChunk * static_cast<double>(chunks - std::min(chunks, 1 + bytes / bytesOfAnOrdinaryChunk));
}

std::optional<Core::Duration> takeWork(WorkState& state, WorkLimits const& limits, double units, Core::MonotonicTime now)
{
    if (units <= 0)
        return Core::Duration::zero();
    auto const elapsed = std::max(0.0, std::chrono::duration<double>(now - state.updatedAt).count());
    auto const debt = std::max(0.0, state.debt - elapsed * limits.unitsPerSecond) + units;
    auto const wait = std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(std::max(0.0, debt - limits.burst) / limits.unitsPerSecond));
    if (wait > limits.maximumWait)
        return std::nullopt;
    state = { debt, now };
    return wait;
}

}
