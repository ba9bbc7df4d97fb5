#pragma once

#include <LibCore/Endpoint.h>
#include <LibPlatform/Cloud.h>
#include <Support/ChildProcess.h>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

namespace TestSupport {

/// Sends a request with a JSON body to a stand-in and returns the JSON of the response, or null if its body is empty. Throws
/// std::runtime_error if there is no response or its status is 300 or more.
boost::json::value callStandIn(Core::Endpoint const&, std::string method, std::string target, boost::json::value const& body = {});

/// The fault switches of the platform stand-in. A switch without a value resets to the value of the stand-in's flag.
struct PlatformFaults {
    std::uint64_t slowMs { 0 };
    bool down { false };
    std::uint64_t dropWriteAnswers { 0 };
    std::uint64_t hostListLagMs { 0 };
    bool refuseHostStarts { false };
    std::optional<std::uint64_t> writesPerSecond;
    std::optional<std::uint64_t> readsPerSecond;
    std::optional<std::uint64_t> weightsBytesPerSecond;
};

/// The hosts to reclaim: those named, and all reclaimable ones of a zone or data centre.
struct ReclaimRequest {
    std::vector<std::string> hostIds;
    std::string zone;
    std::string dataCentre;
    std::chrono::milliseconds noticePeriod { 0 };
};

/// A write that the platform accepted.
struct AcceptedWrite {
    std::string kind;
    std::string name;
    std::uint64_t version { 0 };
    /// "create", "update" or "remove".
    std::string operation;

    bool operator==(AcceptedWrite const&) const = default;
};

/// Controls a running platform stand-in. Calls go to it directly, not through a proxy. Each throws as callStandIn().
class PlatformSwitches {
public:
    explicit PlatformSwitches(Core::Endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {
    }

    void setFaults(PlatformFaults const&) const;
    void registerHosts(std::vector<Platform::Host> const&) const;
    void removeHosts(std::vector<std::string> const& ids) const;

    /// Posts notices and returns the ids of the hosts they name.
    std::vector<std::string> reclaim(ReclaimRequest const&) const;

    /// The record as described in docs/stand-ins.md, with the writes after a version.
    [[nodiscard]] boost::json::value record(std::uint64_t afterVersion = 0) const;

    /// The number of calls of a kind that arrived, for example "update".
    [[nodiscard]] std::uint64_t callCount(std::string_view kind) const;

    [[nodiscard]] std::vector<AcceptedWrite> acceptedWrites(std::uint64_t afterVersion = 0) const;

private:
    Core::Endpoint m_endpoint;
};

/// The fault switches of one pair of endpoints of the fault proxy.
struct ProxyFaults {
    /// Closes all connections and refuses new ones.
    bool cut { false };
    std::uint64_t delayMs { 0 };
    bool freezeToTarget { false };
    bool freezeFromTarget { false };
    /// Closes a connection after it carried this many bytes from the target; 0 disables this.
    std::uint64_t truncateAfterBytes { 0 };
    /// The number of connections that are closed when bytes from the target arrive next.
    std::uint64_t dropAnswers { 0 };
};

/// Controls a running fault proxy. Each call throws as callStandIn().
class ProxySwitches {
public:
    /// The endpoint of the proxy's interface "control".
    explicit ProxySwitches(Core::Endpoint control)
        : m_control(std::move(control))
    {
    }

    /// Replaces the switches of one pair, counted from 0 in the order of --listen, or of all pairs.
    void setFaults(ProxyFaults const&, std::optional<std::size_t> pair = {}) const;

    /// Forwards all bytes without faults again.
    void clearFaults(std::optional<std::size_t> pair = {}) const { setFaults({}, pair); }

private:
    Core::Endpoint m_control;
};

}
