#pragma once

#include <gflags/gflags_declare.h>

// Flags that several stand-ins share.
DECLARE_string(listen);
DECLARE_int32(count);
