#include <StandIns/StandIns.h>
#include <array>
#include <cstdio>
#include <string_view>

namespace {

struct StandIn {
    std::string_view name;
    int (*run)(int, char**);
};

constexpr std::array standIns {
    StandIn { "platform", StandIns::runPlatform },
    StandIn { "engine", StandIns::runEngine },
    StandIn { "service", StandIns::runPlainService },
    StandIn { "proxy", StandIns::runFaultProxy },
};

}

int main(int argc, char** argv)
{
    static constexpr int usageExitCode = 2;
    if (argc >= 2) {
        for (auto const& standIn : standIns) {
            if (standIn.name == argv[1])
                return standIn.run(argc - 1, argv + 1);
        }
    }
    std::fputs("usage: hyssopstep-stand-in platform|engine|service|proxy [FLAG...]\n", stderr);
    return usageExitCode;
}
