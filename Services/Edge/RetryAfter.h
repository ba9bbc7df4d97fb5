#pragma once

#include <LibCore/Runtime.h>

namespace Edge {

// When no server executed the request, the client may retry after about the duration of one call, unless the servers' queues tell more.
inline constexpr std::chrono::milliseconds retryAfterRefusal { 250 };
inline constexpr std::chrono::milliseconds minimumRetryAfter { 50 };
inline constexpr std::chrono::milliseconds maximumRetryAfter { 2000 };

[[nodiscard]] inline std::chrono::milliseconds toMilliseconds(Core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}
