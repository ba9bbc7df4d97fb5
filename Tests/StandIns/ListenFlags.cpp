#include <StandIns/ListenFlags.h>

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP address and port of the first listening endpoint; port 0 lets the kernel choose");
DEFINE_int32(count, 1, "number of listening endpoints; they use successive ports unless the port is 0");
