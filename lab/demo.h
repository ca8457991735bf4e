// Twenty seconds in the life of a relay, for a newcomer to watch: three destinations, a directory, a trickle
// of messages; a drain, a directory that falls silent, a kill, contrary news, an endpoint in trouble.
#pragma once

#include <ostream>
#include <string>

namespace myrtleloft::lab {

struct DemoOptions {
  std::string program;    // the relay
  double seconds = 20;    // the script is stretched to this
  double perSecond = 25;  // messages
  double toldMs = 50;     // from the directory's word on, for so long calls may still come
};

// Prints as it goes, and a table at the end. 0: each message that was taken on had its one end, no call went
// where the list forbade it, and the relay drained with exit code 0; else 1, and what was seen.
int demo(const DemoOptions& options, std::ostream& out);

}  // namespace myrtleloft::lab
