#pragma once

#include <LibConfiguration/Apply.h>
#include <LibConfiguration/DesiredState.h>
#include <array>
#include <concepts>
#include <limits>
#include <string_view>
#include <utility>

// The fields of each type with their allowed values, shared by the decoder and the encoder. Internal to LibConfiguration.
namespace Configuration {

enum class Presence {
    Required,
    Optional,
};

struct TextRule {
    std::size_t minimumLength;
    std::size_t maximumLength;
    /// Describes the allowed characters; part of error messages.
    std::string_view description;
    bool (*matches)(std::string_view);
};

struct NumberRange {
    std::uint64_t minimum;
    std::uint64_t maximum;
    std::string_view unit;
};

/// The largest number of elements of a list.
struct ListLimit {
    std::size_t maximum;
};

bool isName(std::string_view);
bool isPrintable(std::string_view);
bool isPath(std::string_view);
bool isMethod(std::string_view);
bool isDigest(std::string_view);

// Names become parts of URLs, of label values and of object names, so they follow RFC 1123 labels.
inline constexpr TextRule nameRule { 1, 63, "lower-case letters, digits, \"-\" and \".\", beginning and ending with a letter or digit", isName };
inline constexpr TextRule weightsRule { 1, 256, "printable characters", isPrintable };
inline constexpr TextRule pathRule { 1, 256, "a path beginning with \"/\", without \"//\", \"..\", query or spaces", isPath };
inline constexpr TextRule methodRule { 3, 7, "GET, HEAD, POST, PUT, PATCH or DELETE", isMethod };
inline constexpr TextRule digestRule { 64, 64, "a SHA-256 in lower-case hexadecimal digits", isDigest };
inline constexpr TextRule authorRule { 1, 128, "printable characters", isPrintable };
inline constexpr TextRule applyIdRule { 1, 128, "printable characters", isPrintable };
inline constexpr TextRule commentRule { 0, 512, "printable characters", isPrintable };
inline constexpr TextRule changeRule { 1, 512, "printable characters", isPrintable };

inline constexpr std::array serviceKinds {
    std::pair { std::string_view("model"), ServiceKind::Model },
    std::pair { std::string_view("plain"), ServiceKind::Plain },
};

inline constexpr std::array idempotencies {
    std::pair { std::string_view("idempotent"), Idempotency::Idempotent },
    std::pair { std::string_view("non-idempotent"), Idempotency::NonIdempotent },
};

template <typename Entity, typename Plain>
concept PossiblyConst = std::same_as<std::remove_const_t<Entity>, Plain>;

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<Operation> auto& operation)
{
    visitor.text("name", operation.name, nameRule, Presence::Required);
    visitor.text("method", operation.method, methodRule, Presence::Required);
    visitor.text("pathPrefix", operation.pathPrefix, pathRule, Presence::Required);
    // Required, because a wrong default would either allow a repeated refund or refuse safe retries.
    visitor.choice("idempotency", operation.idempotency, idempotencies, Presence::Required);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<ModelVersion> auto& version)
{
    visitor.text("name", version.name, nameRule, Presence::Required);
    visitor.text("weights", version.weights, weightsRule, Presence::Required);
    visitor.number("weight", version.weight, { 0, 1000, "parts" }, Presence::Optional);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<Adapter> auto& adapter)
{
    visitor.text("name", adapter.name, nameRule, Presence::Required);
    visitor.text("weights", adapter.weights, weightsRule, Presence::Required);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<LatencyTarget> auto& target)
{
    visitor.number("firstTokenMilliseconds", target.firstTokenMilliseconds, { 0, 600000, "ms, 0 for no target" }, Presence::Optional);
    visitor.number("betweenTokensMilliseconds", target.betweenTokensMilliseconds, { 0, 60000, "ms, 0 for no target" }, Presence::Optional);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<Service> auto& service)
{
    visitor.text("name", service.name, nameRule, Presence::Required);
    visitor.choice("kind", service.kind, serviceKinds, Presence::Required);
    visitor.entities("versions", service.versions, ListLimit { 32 }, Presence::Optional);
    visitor.entities("adapters", service.adapters, ListLimit { 256 }, Presence::Optional);
    visitor.entity("target", service.target, Presence::Optional);
    visitor.entities("operations", service.operations, ListLimit { 128 }, Presence::Optional);
    visitor.number("importance", service.importance, { 0, 100, "(higher is more important)" }, Presence::Optional);
    visitor.number("minimumServers", service.minimumServers, { 0, 10000, "servers" }, Presence::Optional);
    visitor.number("maximumServers", service.maximumServers, { 1, 10000, "servers" }, Presence::Optional);
    visitor.texts("machineClasses", service.machineClasses, nameRule, ListLimit { 256 }, Presence::Optional);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<TeamLimits> auto& limits)
{
    visitor.number("requestsPerSecond", limits.requestsPerSecond, { 0, 1000000, "requests/s, 0 for no limit" }, Presence::Optional);
    visitor.number("tokensPerSecond", limits.tokensPerSecond, { 0, 1000000000, "tokens/s, 0 for no limit" }, Presence::Optional);
    visitor.number("concurrentRequests", limits.concurrentRequests, { 0, 1000000, "requests, 0 for no limit" }, Presence::Optional);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<Team> auto& team)
{
    visitor.text("name", team.name, nameRule, Presence::Required);
    visitor.texts("keyDigests", team.keyDigests, digestRule, ListLimit { 16 }, Presence::Required);
    visitor.texts("services", team.services, nameRule, ListLimit { 256 }, Presence::Required);
    visitor.entity("limits", team.limits, Presence::Optional);
    visitor.number("share", team.share, { 1, 1000, "parts" }, Presence::Optional);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<MachineClass> auto& machineClass)
{
    visitor.text("name", machineClass.name, nameRule, Presence::Required);
    visitor.text("zone", machineClass.zone, nameRule, Presence::Required);
    visitor.number("reclaimablePrice", machineClass.reclaimablePrice, { 0, 1000000000000, "millionths of a currency unit an hour" }, Presence::Required);
    visitor.number("onDemandPrice", machineClass.onDemandPrice, { 0, 1000000000000, "millionths of a currency unit an hour" }, Presence::Required);
    visitor.number("capacity", machineClass.capacity, { 1, 1000000000, "thousandths of a request a second" }, Presence::Required);
    visitor.number("maximumHosts", machineClass.maximumHosts, { 0, 10000, "hosts" }, Presence::Required);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<Place> auto& place)
{
    visitor.text("dataCentre", place.dataCentre, nameRule, Presence::Required);
    visitor.text("region", place.region, nameRule, Presence::Required);
    visitor.entities("machineClasses", place.machineClasses, ListLimit { 256 }, Presence::Optional);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<DesiredState> auto& state)
{
    visitor.entities("services", state.services, ListLimit { 1000 }, Presence::Optional);
    visitor.entities("teams", state.teams, ListLimit { 1000 }, Presence::Optional);
    visitor.entities("places", state.places, ListLimit { 100 }, Presence::Optional);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<AuditEntry> auto& entry)
{
    constexpr auto maximumTime = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    visitor.number("generation", entry.generation, { 1, maximumTime, "" }, Presence::Required);
    visitor.number("appliedAtMilliseconds", entry.appliedAtMilliseconds, { 0, maximumTime, "ms since 1970" }, Presence::Required);
    visitor.text("appliedBy", entry.appliedBy, authorRule, Presence::Required);
    visitor.text("applyId", entry.applyId, applyIdRule, Presence::Required);
    visitor.text("comment", entry.comment, commentRule, Presence::Optional);
    visitor.texts("changes", entry.changes, changeRule, ListLimit { 1000 }, Presence::Required);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<ApplyRequest> auto& request)
{
    visitor.number("basedOnGeneration", request.basedOnGeneration, { 0, std::numeric_limits<std::int64_t>::max(), "" }, Presence::Required);
    visitor.text("applyId", request.applyId, applyIdRule, Presence::Required);
    visitor.text("appliedBy", request.appliedBy, authorRule, Presence::Required);
    visitor.text("comment", request.comment, commentRule, Presence::Optional);
    visitor.entity("desired", request.desired, Presence::Required);
}

template <typename Visitor>
void describeFields(Visitor& visitor, PossiblyConst<AppliedState> auto& state)
{
    visitor.number("generation", state.generation, { 0, std::numeric_limits<std::int64_t>::max(), "" }, Presence::Required);
    visitor.entity("desired", state.desired, Presence::Required);
    visitor.entities("audit", state.audit, ListLimit { 1000 }, Presence::Required);
}

}
