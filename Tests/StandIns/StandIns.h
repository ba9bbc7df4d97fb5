#pragma once

namespace StandIns {

/// Each runs one stand-in until SIGTERM and returns the process's exit code. argv[0] is the stand-in's name.
int runPlatform(int argc, char** argv);
int runEngine(int argc, char** argv);
int runPlainService(int argc, char** argv);
int runFaultProxy(int argc, char** argv);

}
