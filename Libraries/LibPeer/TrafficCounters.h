#pragma once

#include <LibPeer/PeerMessages.h>
#include <LibPeer/PeerTraffic.h>
#include <atomic>
#include <type_traits>

namespace Peer {

/// Counts messages by the class of their call, on the side of the caller or of the callee. Thread safe.
class TrafficCounters {
public:
    template <typename Request>
    void addSent(std::uint64_t bytes)
    {
        auto& counter = of(classOf<Request>());
        counter.calls.fetch_add(1, std::memory_order_relaxed);
        counter.sentBytes.fetch_add(bytes, std::memory_order_relaxed);
    }

    template <typename Request>
    void addReceived(std::uint64_t bytes)
    {
        of(classOf<Request>()).receivedBytes.fetch_add(bytes, std::memory_order_relaxed);
    }

    [[nodiscard]] PeerTraffic read(TrafficClass trafficClass) const
    {
        auto const& counter = trafficClass == TrafficClass::Control ? m_control : m_requests;
        return { counter.calls.load(std::memory_order_relaxed), counter.sentBytes.load(std::memory_order_relaxed), counter.receivedBytes.load(std::memory_order_relaxed) };
    }

private:
    struct Counter {
        std::atomic<std::uint64_t> calls { 0 };
        std::atomic<std::uint64_t> sentBytes { 0 };
        std::atomic<std::uint64_t> receivedBytes { 0 };
    };

    template <typename Request>
    static constexpr TrafficClass classOf()
    {
        bool constexpr isControl = std::is_same_v<Request, ExchangeRequest> || std::is_same_v<Request, FetchConfigurationRequest> || std::is_same_v<Request, FetchPlatformDataRequest>;
        return isControl ? TrafficClass::Control : TrafficClass::Requests;
    }

    Counter& of(TrafficClass trafficClass) { return trafficClass == TrafficClass::Control ? m_control : m_requests; }

    Counter m_control;
    Counter m_requests;
};

}
