#pragma once

#include <cstdint>

namespace Peer {

/// The purpose of a call between nodes.
enum class TrafficClass {
    /// Node table, configuration and platform data; independent of the requests served.
    Control,
    /// Streams and intents; grows with the requests served.
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
