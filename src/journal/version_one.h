// Reads journal format version 1: a single file `journal` without a header, with frames of a length, a CRC-32
// and a payload. The format is read for conversion and never written. Not thread-safe; O(bytes).
#pragma once

#include <string_view>

#include "journal/recovery.h"
#include "journal/replay.h"

namespace myrtleloft {

// Applies the records of the file to `replay`. Stops at a damaged record, because the format gives no way to
// find the next one, and reports the rest of the file as corrupt.
void replayVersionOne(std::string_view bytes, Replay& replay, Recovered& found);

}  // namespace myrtleloft
