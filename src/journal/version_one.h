// The journal as it was before segments: one file `journal`, frames of length and CRC-32, no header. Read to
// take it over, never written.
#pragma once

#include <string_view>

#include "journal/recovery.h"

namespace myrtleloft {

// Applies its records. Damage in it ends the reading as it did then, but what lies behind is a hole, and
// told.
void replayVersionOne(std::string_view bytes, Replay& replay, Recovered& found);

}  // namespace myrtleloft
