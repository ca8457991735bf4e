// What the module was told and what it did, as bytes and as a line of text.
//
//   std::string told = encodeEvents(nowMs, events);
//   Batch batch;
//   if (!decodeEvents(told, batch)) ...         // not ours: too short, too long, or with values that nobody
//   says
//
// Floating-point numbers go in by their bits, never rounded: where two builds differ in the last bit of a
// time, one of them will one day be on the other side of a comparison, and then they send to different
// endpoints. By the bits it shows at the first call. Times and ids are the case's, the same at both. Decoded
// numbers are finite, enumerations within their names, and a list holds no more than its bytes can say.
// O(size).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

struct Batch {
  double nowMs = 0;
  std::vector<Event> events;
};

std::string encodeEvents(double nowMs, const std::vector<Event>& events);
std::string encodeActions(const std::vector<Action>& actions);
bool decodeEvents(std::string_view bytes, Batch& batch);
bool decodeActions(std::string_view bytes, std::vector<Action>& actions);

// No longer than this; what is more is cut.
inline constexpr std::size_t kLongestTold = 200;
std::string textOf(const Batch& batch);
std::string textOf(const Action& action);

}  // namespace myrtleloft
