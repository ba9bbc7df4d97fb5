#pragma once

#include <LibCore/Runtime.h>
#include <LibHTTP/Message.h>
#include <LibHTTP/Server.h>
#include <LibPlatform/Cloud.h>
#include <StandIns/HostTable.h>
#include <StandIns/ObjectTable.h>
#include <StandIns/RateLimit.h>
#include <boost/json/array.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace StandIns {

/// The fault switches of the platform stand-in; docs/stand-ins.md describes them.
struct PlatformFaults {
    std::uint64_t slowMs { 0 };
    bool down { false };
    std::uint64_t dropWriteAnswers { 0 };
    std::uint64_t hostListLagMs { 0 };
    bool refuseHostStarts { false };
    std::uint64_t writesPerSecond { 0 };
    std::uint64_t readsPerSecond { 0 };
    std::uint64_t weightsBytesPerSecond { 0 };
};

struct PlatformSettings {
    std::size_t historyPerKind { 0 };
    std::uint64_t weightsBytes { 0 };
    PlatformFaults initialFaults;
};

/// The object API, cloud API and weight store of the platform, in memory. Used on the thread of the runtime only.
class PlatformStandIn {
public:
    PlatformStandIn(Core::Runtime&, PlatformSettings);

    [[nodiscard]] Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);

private:
    enum class ResponseDelivery {
        Send,
        Drop,
    };

    struct CallResult {
        HTTP::Response response;
        ResponseDelivery delivery { ResponseDelivery::Send };
    };

    using Path = std::vector<std::string>;

    // PlatformStandIn.cpp
    [[nodiscard]] Core::Awaitable<void> handlePlatformCall(Path, HTTP::Request const&, HTTP::ResponseWriter&);
    [[nodiscard]] HTTP::Response handleStandInCall(std::string const& call, HTTP::Request const&);
    [[nodiscard]] HTTP::Response replaceFaults(HTTP::Request const&);
    [[nodiscard]] HTTP::Response registerHosts(HTTP::Request const&);
    [[nodiscard]] HTTP::Response postNotices(HTTP::Request const&);
    [[nodiscard]] HTTP::Response record(std::uint64_t afterVersion) const;
    [[nodiscard]] Core::Awaitable<void> removeHostsAfter(std::vector<std::string> hostIds, Core::Duration);

    // PlatformObjects.cpp
    [[nodiscard]] CallResult handleObjectCall(Path const&, HTTP::Request const&);
    [[nodiscard]] HTTP::Response readObject(Platform::ObjectKey const&);
    [[nodiscard]] HTTP::Response listObjects(std::string const& kind);
    [[nodiscard]] HTTP::Response writeObject(Platform::ObjectKey const&, HTTP::Request const&);
    [[nodiscard]] std::optional<HTTP::Response> checkPrecondition(Platform::ObjectKey const&, std::optional<std::uint64_t> expectedVersion) const;
    void recordWrite(Platform::ObjectKey const&, std::string_view operation, std::uint64_t version);
    [[nodiscard]] Core::Awaitable<void> watch(std::string kind, HTTP::Request const&, HTTP::ResponseWriter&);

    // PlatformCloud.cpp
    [[nodiscard]] Core::Awaitable<HTTP::Response> handleCloudCall(Path, HTTP::Request const&);
    [[nodiscard]] HTTP::Response startHost(HTTP::Request const&);
    [[nodiscard]] Core::Awaitable<HTTP::Response> waitForNotices(HTTP::Request const&);
    [[nodiscard]] Core::Awaitable<HTTP::Response> sendWeights(std::string name);

    Core::Runtime& m_runtime;
    PlatformSettings m_settings;
    PlatformFaults m_faults;
    ObjectTable m_objects;
    HostTable m_hosts;
    RateLimit m_writeLimit;
    RateLimit m_readLimit;
    std::vector<Platform::ReclaimNotice> m_notices;
    std::uint64_t m_lastHostNumber { 0 };
    Core::MonotonicTime m_weightsBusyUntil {};
    /// Notified of each write, notice and change of the faults.
    Core::AsyncEvent m_changed;
    std::map<std::string, std::uint64_t> m_calls;
    std::uint64_t m_rateLimitedCalls { 0 };
    std::map<std::uint64_t, boost::json::object> m_writesByVersion;
    boost::json::array m_starts;
    boost::json::array m_stops;
};

}
