// The commands `list show` and `list check`, which inspect the cached endpoint list of a state folder. They
// change nothing, and may run while a relay writes the list: the relay replaces the file atomically, and the
// reader ignores appended records until they are committed.
#pragma once

#include <ostream>
#include <string>

namespace myrtleloft {

struct ListToolOptions {
  std::string folder;
  std::string
      operatorFile;  // contains the maximum ages of the list's states; if empty, the defaults are used
  bool json = false;
};

// These functions return an exit code of command_line.h: kExitUnavailable if there is no list, kExitCorrupt
// if it is corrupt or incomplete. Both throw ConfigError if the operator's file is invalid.

// Prints each endpoint and a summary.
int showList(const ListToolOptions& options, std::ostream& out, std::ostream& err);
// Prints the summary, and which classes a relay that started now without discovery would accept or reject.
int checkList(const ListToolOptions& options, std::ostream& out, std::ostream& err);

}  // namespace myrtleloft
