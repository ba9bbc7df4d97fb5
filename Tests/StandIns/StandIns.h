#pragma once

namespace StandIns {

/// Each runs one stand-in until SIGTERM or SIGINT and returns the exit code of the process. argv[0] is the name of the stand-in.
int runPlatform(int argc, char** argv);
int runEngine(int argc, char** argv);
int runPlainService(int argc, char** argv);
int runFaultProxy(int argc, char** argv);

}
