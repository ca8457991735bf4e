// Logs what a start was given and what it lacks, for a start that fails or waits: program, working folder,
// which of the relay's variables are set or empty, and everything that is missing rather than the first of
// it.
//
//   logStartupReport(log, environment);
//
// Reads the files and the folder that the environment names, once. No state; single-threaded.
#pragma once

#include "log/log.h"
#include "myrtleloft/relay.h"

namespace myrtleloft {

// Writes the events `relay.program`, `relay.environment` and, if something is missing, `relay.missing`.
void logStartupReport(const Log& log, const Environment& environment);

}  // namespace myrtleloft
