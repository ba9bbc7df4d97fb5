#include <StandIns/StandIns.h>

namespace StandIns {

// FIXME: Not written yet.
int runEngine(int, char**)
{
    return 1;
}

}
