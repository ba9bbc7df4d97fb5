#include <LibHTTP/SocketBuffers.h>

#include <algorithm>
#include <climits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace HTTP {

static bool setOption(int descriptor, int level, int option, std::size_t bytes)
{
    auto const value = static_cast<int>(std::min<std::size_t>(bytes, INT_MAX));
    return setsockopt(descriptor, level, option, &value, sizeof(value)) == 0;
}

bool limitReceiveQueue(int descriptor, std::size_t bytes)
{
    // Linux doubles the value, for its own structures. Large segments need less than that, so the queue can come near twice the value.
    return setOption(descriptor, SOL_SOCKET, SO_RCVBUF, bytes / 2);
}

bool widenReceiveQueue(int descriptor, std::size_t bytes)
{
    // Before Linux 6.7, the window of an accepted connection stays at the buffer of its listening socket otherwise.
    static constexpr std::size_t largestWindowWithoutScaling = 65'535;
    return limitReceiveQueue(descriptor, bytes) && setOption(descriptor, IPPROTO_TCP, TCP_WINDOW_CLAMP, largestWindowWithoutScaling);
}

bool limitUnsentBytes(int descriptor, std::size_t bytes)
{
    return setOption(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, bytes);
}

}
