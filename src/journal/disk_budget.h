// Disk space that others than the journal may reserve, out of the same limit. The journal has the first
// claim: it gives none that the pending requests may still need. One thread; O(1).
#pragma once

#include <cstddef>

namespace myrtleloft {

class DiskBudget {
 public:
  virtual ~DiskBudget() = default;
  // In complete blocks (`roundUpToBlocks`). false: there is no space for them now.
  virtual bool reserve(std::size_t bytes) = 0;
  // Bytes taken, or of a file that was there at the start and is gone.
  virtual void release(std::size_t bytes) = 0;
};

}  // namespace myrtleloft
