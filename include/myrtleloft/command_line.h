// The program's command line as a library: what `myrtleloft` does, with its output and environment passed in.
#pragma once

#include <ostream>

#include "myrtleloft/relay.h"

namespace myrtleloft {

// Exit codes, the same for all commands.
enum ExitCode {
  kExitGood = 0,
  kExitCannot = 1,      // could not start, or the folder cannot be used (another process holds it, no room)
  kExitUsage = 2,       // a fault in the arguments or in a configuration file; the text names it
  kExitUnforeseen = 3,  // something that should not happen
  kExitDamaged = 4      // `journal verify` or `list` found damage
};

// Without arguments, serves. Never throws.
int runCommandLine(int argc, const char* const* argv, Environment environment, std::ostream& out,
                   std::ostream& err);

}  // namespace myrtleloft
