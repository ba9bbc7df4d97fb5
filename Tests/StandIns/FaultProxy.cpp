#include <StandIns/StandIns.h>

namespace StandIns {

// FIXME: Not written yet.
int runFaultProxy(int, char**)
{
    return 1;
}

}
