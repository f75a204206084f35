#ifndef CARDAMOMROUTE_CARDAMOMROUTE_PROGRAM_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_PROGRAM_H_

namespace cardamomroute {

/// The whole program; returns its exit status.
int RunProgram(int argc, char** argv);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_PROGRAM_H_
