// Lets other components reserve disk space out of the journal's disk budget. The journal has priority: space
// that pending requests may still need is never handed out. Not thread-safe; O(1).
#pragma once

#include <cstddef>

namespace myrtleloft {

class DiskBudget {
 public:
  virtual ~DiskBudget() = default;
  // Reserves `bytes`, which must be a multiple of the block size (see `roundUpToBlocks`). Returns false if
  // there is not enough free space now.
  virtual bool reserve(std::size_t bytes) = 0;
  // Gives back reserved bytes, or those of a deleted file that already existed when the journal was opened.
  virtual void release(std::size_t bytes) = 0;
};

}  // namespace myrtleloft
