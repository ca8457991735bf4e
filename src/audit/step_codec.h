// Encodes the input and output of the decision module as bytes, and describes them as text for the log.
//
//   std::string input = encodeEvents(nowMs, events);
//   Batch batch;
//   if (!decodeEvents(input, batch)) ...  // truncated, too long, or with invalid values
//
// Floating-point numbers are encoded bit by bit and never rounded. If two builds differ in the last bit of a
// time, sooner or later a comparison will give different results and they will send to different endpoints;
// the bits show this at the first call. Times and ids come from the case and are equal on both relays.
// Decoded numbers are finite, enumerations valid, and list sizes limited by the remaining bytes. O(size).
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

// Maximum length of a text; longer ones are truncated.
inline constexpr std::size_t kMaxTextLength = 200;
std::string textOf(const Batch& batch);
std::string textOf(const Action& action);

}  // namespace myrtleloft
