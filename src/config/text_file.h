// Reads a text file that another program provides, and tells a file that is not there yet, or is being
// written, from one that can never be read.
//
//   const Result<TextFile, TextFileError> file = readTextFile("/run/balancer/config.json");
//   if (!file && file.error().cause != UnavailableCause::kPermanent) ...   // try again later
//
// Thread-safe. O(size) and a few system calls; blocks while a pipe has a writer and no data.
#pragma once

#include <string>

#include "journal/result.h"
#include "policy/startup_policy.h"

namespace myrtleloft {

struct TextFile {
  std::string text;
  double writtenWallMs = 0;  // when it was last changed, in milliseconds on the wall clock
};

struct TextFileError {
  UnavailableCause cause = UnavailableCause::kPermanent;
  std::string reason;  // "No such file or directory"
};

// A regular file that changes while it is read is an error of the cause kMissing: its text may be partly old.
Result<TextFile, TextFileError> readTextFile(const std::string& path);

}  // namespace myrtleloft
