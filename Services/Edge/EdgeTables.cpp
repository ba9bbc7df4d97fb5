#include <Edge/EdgeTables.h>
#include <LibCore/Log.h>

namespace Edge {

void logRefusedParts(std::vector<Limits::PromptPartHash> const& parts, std::string_view source)
{
    for (auto const part : parts)
        Core::logEvent(Core::LogLevel::Warning, "prompt_part_refused", { { "part", part }, { "source", source } });
}

}
