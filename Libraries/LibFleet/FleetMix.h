#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Fleet {

enum class Purchase {
    /// Cheaper, but the platform may reclaim the host at short notice.
    Reclaimable,
    OnDemand,
};

/// Hosts of one machine class and purchase type in one zone.
struct Pool {
    std::string dataCentre;
    std::string zone;
    std::string machineClass;
    Purchase purchase { Purchase::OnDemand };

    auto operator<=>(Pool const&) const = default;
};

/// Price, capacity and availability of the hosts of a pool.
struct Offer {
    Pool pool;
    /// In millionths of a currency unit per hour.
    std::uint64_t price { 0 };
    /// Throughput of one host at the latency target, in thousandths of a request per second.
    std::uint64_t capacity { 0 };
    /// Number of hosts that can still be started; shared by both purchase types of one class in one zone.
    std::uint32_t available { 0 };

    bool operator==(Offer const&) const = default;
};

/// Numbers of hosts by pool.
using Mix = std::map<Pool, std::uint32_t>;

struct MixRequest {
    std::vector<Offer> offers;
    /// One entry per existing host; `available` is ignored.
    std::vector<Offer> existing;
    /// Capacity required after the worst loss, in thousandths of a request per second.
    std::uint64_t required { 0 };
    /// Limits on the total of existing and added hosts. Hosts that exist but provide no capacity, such as overdue starts, are in
    /// neither `existing` nor these limits.
    std::uint32_t minimumHosts { 0 };
    std::uint32_t maximumHosts { 0 };

    bool operator==(MixRequest const&) const = default;
};

struct MixResult {
    Mix added;
    /// Total price of the added hosts, in millionths of a currency unit per hour.
    std::uint64_t price { 0 };
    /// Capacity of the existing and added hosts together after the worst loss.
    std::uint64_t capacityAfterLoss { 0 };
    /// Whether the required capacity and the minimum number of hosts are reached.
    bool isSufficient { false };

    bool operator==(MixResult const&) const = default;
};

/// Returns the capacity left after the worst single loss, which is either all hosts of one zone or all reclaimable hosts of one
/// data centre. Thread safe.
[[nodiscard]] std::uint64_t capacityAfterLoss(std::vector<Offer> const& hosts);

/// Describes the loss that leaves the least capacity, for messages. Empty if there are no hosts. Thread safe.
[[nodiscard]] std::string worstLoss(std::vector<Offer> const& hosts);

/// Finds a cheap set of hosts to add so that the required capacity remains after the worst loss, or the set that leaves the most
/// capacity if none is sufficient. The result is the best of several greedy fills with local improvement. It is sufficient
/// whenever a set of on-demand hosts is, and never more expensive than the result for the on-demand offers alone. Deterministic;
/// thread safe.
[[nodiscard]] MixResult cheapestAdditions(MixRequest const&);

}
