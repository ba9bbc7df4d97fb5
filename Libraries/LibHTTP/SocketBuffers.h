#pragma once

#include <cstddef>

namespace HTTP {

/// What the system may receive ahead of a server's response while its client does not read.
inline constexpr std::size_t serverReceiveQueueBytes = 16 * 1024;

/// What it may receive ahead of a long body that is read as it arrives: the largest window of TCP without scaling.
inline constexpr std::size_t widestReceiveQueueBytes = 64 * 1024;

/// Limits the bytes that the system keeps of what a TCP socket has received and the process has not read (SO_RCVBUF). Set on a listening
/// socket or before connecting, it also limits the first window. Returns false, with the reason in errno, if the system refuses. Thread safe.
bool limitReceiveQueue(int descriptor, std::size_t bytes);

/// Raises the limit of a connection and its window, so that a long body arrives in few round trips. Returns false as above. Thread safe.
bool widenReceiveQueue(int descriptor, std::size_t bytes);

/// Limits the bytes that the system takes from the process before it can send them (TCP_NOTSENT_LOWAT); what is under way to a peer that reads
/// is not limited. On a listening socket, it holds for the connections that it accepts. Returns false as above. Thread safe.
bool limitUnsentBytes(int descriptor, std::size_t bytes);

}
