#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Membership {

/// The applied configuration in effect on this node: the JSON text of a Configuration::AppliedState and its generation.
/// Used from the runtime's thread only.
class ConfigurationHolder {
public:
    /// Applies the configuration if its generation is higher than the current one. Returns whether it was applied.
    bool applyIfNewer(std::uint64_t generation, std::string json);

    /// Reads the generation from the JSON text. Returns false if the text has none or the generation is not higher.
    bool applyJsonIfNewer(std::string json);

    /// 0 before the first configuration.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    /// Empty before the first configuration.
    [[nodiscard]] std::string const& json() const { return m_json; }

    /// Registers a function that is called after each change, for the lifetime of the holder.
    void onChange(std::function<void()> listener);

private:
    std::uint64_t m_generation { 0 };
    std::string m_json;
    std::vector<std::function<void()>> m_listeners;
};

}
