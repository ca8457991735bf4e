// How long a process waited for a processor while it could have run, by the kernel's own count
// (/proc/PID/schedstat): what a busy machine takes from it, and what no program can make up for.
#pragma once

#include <sys/types.h>

namespace myrtleloft::lab {

class ProcessorWait {
 public:
  // Of its first thread, since this was last asked of the same process, in ms. A wait counts once it is over.
  // 0 where the kernel does not say.
  double sinceLastMs(pid_t process);

 private:
  pid_t process_ = -1;
  double totalMs_ = 0;
};

}  // namespace myrtleloft::lab
