// The command line of the program `myrtleloft` as a library function, with its environment and output streams
// passed in.
//
//   return myrtleloft::runCommandLine(argc, argv, myrtleloft::environmentOf(environ), std::cout, std::cerr);
//
// Call it from one thread only; it blocks until the command has ended or the relay that it runs has stopped.
#pragma once

#include <ostream>

#include "myrtleloft/relay.h"

namespace myrtleloft {

// The program's exit codes, the same for all commands.
enum ExitCode {
  kExitSuccess = 0,
  kExitUnavailable = 1,  // cannot start, or cannot use its folder (locked by another process, no space)
  kExitUsage = 2,        // error in the arguments or in a configuration file; the message names it
  kExitInternalError = 3,
  kExitCorrupt = 4  // `journal verify` or `list` found corrupt data
};

// Runs a command; without arguments, runs a relay. Results go to `out`, error messages and the log to `err`.
// Returns an ExitCode; never throws.
int runCommandLine(int argc, const char* const* argv, Environment environment, std::ostream& out,
                   std::ostream& err);

}  // namespace myrtleloft
