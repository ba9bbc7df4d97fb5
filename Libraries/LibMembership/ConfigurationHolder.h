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
    /// Accepts the configuration only if its generation is higher than the current one. Returns whether it was accepted.
    bool applyIfNewer(std::uint64_t generation, std::string json);

    /// Reads the generation from the JSON text. False if the text has none or the generation is not higher.
    bool applyJsonIfNewer(std::string json);

    /// 0 before the first configuration.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    /// Empty before the first configuration.
    [[nodiscard]] std::string const& json() const { return m_json; }

    /// Calls the function after each change, with the holder already updated. Listeners stay for the holder's lifetime.
    void onChange(std::function<void()> listener);

private:
    std::uint64_t m_generation { 0 };
    std::string m_json;
    std::vector<std::function<void()>> m_listeners;
};

}
