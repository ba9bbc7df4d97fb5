#include <LibForward/DrainPolicy.h>

namespace Forward {

bool acceptsWhileDraining(DrainSchedule const& schedule, Core::MonotonicTime requestDeadline, Core::MonotonicTime now)
{
    if (now < schedule.intakeEnd)
        return true;
    return requestDeadline <= schedule.end;
}

}
