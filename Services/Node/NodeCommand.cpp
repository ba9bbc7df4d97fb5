#include <Node/NodeCommand.h>

namespace Node {

// FIXME: Not written yet.
int runNodeCommand(int, char**)
{
    return 1;
}

}
