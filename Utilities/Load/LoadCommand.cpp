#include <Load/LoadCommand.h>

namespace Load {

// FIXME: Not written yet.
int runLoadCommand(int, char**)
{
    return 1;
}

}
