#pragma once

#include <cstdint>

namespace Peer {

/// What calls between nodes are for.
enum class TrafficClass {
    /// Node table, configuration and platform data; independent of the requests served.
    Control,
    /// Streams and intents, which follow the requests served.
    Requests,
};

/// Calls and the sizes of their encoded messages, without the RPC envelope and the framing of lower layers.
struct PeerTraffic {
    std::uint64_t calls { 0 };
    std::uint64_t sentBytes { 0 };
    std::uint64_t receivedBytes { 0 };

    bool operator==(PeerTraffic const&) const = default;
};

}
