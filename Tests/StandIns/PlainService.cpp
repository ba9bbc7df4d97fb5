#include <StandIns/StandIns.h>

namespace StandIns {

// FIXME: Not written yet.
int runPlainService(int, char**)
{
    return 1;
}

}
