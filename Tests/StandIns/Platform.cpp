#include <StandIns/StandIns.h>

namespace StandIns {

// FIXME: Not written yet.
int runPlatform(int, char**)
{
    return 1;
}

}
