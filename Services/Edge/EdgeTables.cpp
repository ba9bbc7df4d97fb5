#include <Edge/EdgeTables.h>
#include <LibCore/Log.h>

namespace Edge {

void logRefusedParts(std::vector<Limits::PromptPartHash> const& parts, std::string_view source)
{
    for (auto const part : parts)
        Core::logEvent(Core::LogLevel::Warning, "prompt_part_refused", { { "part", part }, { "source", source } });
}

void logRefusedRequests(std::vector<Limits::RequestFingerprint> const& fingerprints, std::string_view source)
{
    for (auto const fingerprint : fingerprints)
        Core::logEvent(Core::LogLevel::Warning, "request_quarantined", { { "fingerprint", std::uint64_t(fingerprint) }, { "source", source } });
}

}
