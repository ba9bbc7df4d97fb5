#pragma once

#include <Support/ChildProcess.h>
#include <chrono>
#include <thread>

namespace TestSupport {

/// Polls a condition until it holds. Returns false if the timeout passes first.
template <typename Condition>
[[nodiscard]] bool waitUntil(Condition condition, std::chrono::milliseconds timeout = defaultTestTimeout)
{
    static constexpr std::chrono::milliseconds pollInterval { 10 };
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

}
