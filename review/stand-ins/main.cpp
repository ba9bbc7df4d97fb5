#include "Net.h"

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::map<std::string, int (*)(std::map<std::string, std::string> const&)> const standIns { { "store", Review::runStore }, { "server", Review::runServer }, { "clients", Review::runClients }, { "single-requests", Review::runSingleRequests }, { "steady-clients", Review::runSteadyClients } };
    auto const found = standIns.find(argc > 1 ? argv[1] : "");
    if (found == standIns.end()) {
        std::fputs("usage: stand-in store|server|clients|single-requests|steady-clients --FLAG=VALUE...\n", stderr);
        return 2;
    }
    return found->second(Review::parseFlags(argc, argv, 2));
}
