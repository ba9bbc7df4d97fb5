#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Fleet {

enum class Purchase {
    /// Cheaper, but the platform may take it back at short notice.
    Reclaimable,
    OnDemand,
};

/// Hosts of one class, bought in one way in one zone.
struct Pool {
    std::string dataCentre;
    std::string zone;
    std::string machineClass;
    Purchase purchase { Purchase::OnDemand };

    auto operator<=>(Pool const&) const = default;
};

/// What a host of a pool costs and serves.
struct Offer {
    Pool pool;
    /// In millionths of a currency unit an hour.
    std::uint64_t price { 0 };
    /// Requests that one host serves at the latency target, in thousandths a second.
    std::uint64_t capacity { 0 };
    /// Hosts that can still be had; shared by both purchases of one class in one zone.
    std::uint32_t available { 0 };

    bool operator==(Offer const&) const = default;
};

/// Numbers of hosts by pool.
using Mix = std::map<Pool, std::uint32_t>;

struct MixRequest {
    std::vector<Offer> offers;
    /// Hosts that are there already, one entry each; `available` is not used.
    std::vector<Offer> existing;
    /// Capacity needed after the worst loss, in thousandths of a request a second.
    std::uint64_t required { 0 };
    /// Of existing and added hosts together. Hosts that exist but bring no capacity are left out of both.
    std::uint32_t minimumHosts { 0 };
    std::uint32_t maximumHosts { 0 };

    bool operator==(MixRequest const&) const = default;
};

struct MixResult {
    Mix added;
    /// Of the added hosts, in millionths of a currency unit an hour.
    std::uint64_t price { 0 };
    /// Of existing and added hosts.
    std::uint64_t capacityAfterLoss { 0 };
    /// Whether the required capacity and the minimum of hosts are reached.
    bool isSufficient { false };

    bool operator==(MixResult const&) const = default;
};

/// The capacity left after the worst of these losses: all hosts of one zone, or all reclaimable hosts of one data centre.
/// Thread safe.
[[nodiscard]] std::uint64_t capacityAfterLoss(std::vector<Offer> const& hosts);

/// The zone or data centre whose loss leaves the least capacity, for messages; empty without hosts. Thread safe.
[[nodiscard]] std::string worstLoss(std::vector<Offer> const& hosts);

/// Finds a cheap set of hosts to add so that the required capacity remains after the worst loss; if no set reaches it, one
/// that leaves the most. The result is the best of several greedy fills with local improvement: it is sufficient whenever
/// a set is (for hosts bought on demand), and never dearer than with the offers on demand alone. Deterministic; thread safe.
[[nodiscard]] MixResult cheapestAdditions(MixRequest const&);

}
