#pragma once

#include <LibCore/Runtime.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Admission {

/// A request that waits at a node because no server has room for it now.
struct WaitingRequest {
    std::uint64_t id { 0 };
    /// 0 is the highest.
    std::uint32_t priority { 0 };
    std::string team;
    /// When it is sent on although no server has room.
    Core::MonotonicTime sendBy;

    bool operator==(WaitingRequest const&) const = default;
};

/// The requests of a service that wait at a node for a short time. It addresses bursts that fill all servers for less than the latency
/// objective: a request that waits here goes to the server that has room first, and urgent ones before others. Not thread safe.
struct WaitingQueue {
    std::vector<WaitingRequest> requests;
    /// Requests that may be sent now and have not been taken yet.
    std::vector<std::uint64_t> released;
    /// How many requests of each team were released since the queue was last empty.
    std::map<std::string, std::uint64_t> releasedByTeam;
    std::uint64_t nextId { 1 };

    bool operator==(WaitingQueue const&) const = default;
};

/// Adds a request and returns its id; an empty optional if the queue is full.
[[nodiscard]] std::optional<std::uint64_t> enqueue(WaitingQueue&, std::uint32_t priority, std::string const& team, Core::MonotonicTime sendBy, std::size_t maximumLength);

/// Releases the request that is to be sent next, if there is one: the most urgent one, of these one of the team that had the fewest
/// released, of these the one that may wait the least. Returns whether there was one.
bool next(WaitingQueue&);

/// Releases the requests that have waited as long as they may. Returns their number.
std::size_t expire(WaitingQueue&, Core::MonotonicTime now);

/// Removes a request whose client has disconnected.
void cancel(WaitingQueue&, std::uint64_t id);

/// Whether a request was released; if so, it is taken from the queue.
[[nodiscard]] bool takeReleased(WaitingQueue&, std::uint64_t id);

}
