#pragma once

#include <LibCore/Endpoint.h>
#include <LibPlatform/Cloud.h>
#include <Support/ChildProcess.h>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

namespace TestSupport {

/// Sends a JSON call to a stand-in. Throws std::runtime_error unless the answer has a status below 300.
boost::json::value callStandIn(Core::Endpoint const&, std::string method, std::string target, boost::json::value const& body = {});

/// The fault switches of the platform stand-in. A switch without a value has the default of the stand-in's flags.
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

/// Which hosts a reclaim takes: named ones, and all reclaimable ones of a zone or data centre.
struct ReclaimRequest {
    std::vector<std::string> hostIds;
    std::string zone;
    std::string dataCentre;
    std::chrono::milliseconds noticePeriod { 0 };
};

/// One write that the platform accepted.
struct AcceptedWrite {
    std::string kind;
    std::string name;
    std::uint64_t version { 0 };
    /// "create", "update" or "remove".
    std::string operation;

    bool operator==(AcceptedWrite const&) const = default;
};

/// The switches of a running platform stand-in; calls go to it directly, not through a proxy. Each throws as callStandIn().
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

    /// The record, with the writes after a version; docs/stand-ins.md describes it.
    [[nodiscard]] boost::json::value record(std::uint64_t afterVersion = 0) const;

    /// How often a kind of call arrived, for example "update".
    [[nodiscard]] std::uint64_t callCount(std::string_view kind) const;

    [[nodiscard]] std::vector<AcceptedWrite> acceptedWrites(std::uint64_t afterVersion = 0) const;

private:
    Core::Endpoint m_endpoint;
};

/// The fault switches of a pair of the fault proxy.
struct ProxyFaults {
    /// Closes all connections and refuses new ones.
    bool cut { false };
    std::uint64_t delayMs { 0 };
    bool freezeToTarget { false };
    bool freezeFromTarget { false };
    /// Closes a connection after this many bytes of answers; 0 does not.
    std::uint64_t truncateAfterBytes { 0 };
    /// The number of connections that are closed when their next answer arrives.
    std::uint64_t dropAnswers { 0 };
};

/// The switches of a running fault proxy. Each throws as callStandIn().
class ProxySwitches {
public:
    /// The endpoint of the proxy's interface "control".
    explicit ProxySwitches(Core::Endpoint control)
        : m_control(std::move(control))
    {
    }

    /// Changes one pair, counted from 0 in the order of --listen, or all.
    void setFaults(ProxyFaults const&, std::optional<std::size_t> pair = {}) const;

    /// Forwards everything again.
    void clearFaults(std::optional<std::size_t> pair = {}) const { setFaults({}, pair); }

private:
    Core::Endpoint m_control;
};

}
