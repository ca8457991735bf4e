// What a cold destination takes before it falls, as the standing test's page words it.
#pragma once

#include <cmath>

namespace myrtleloft::lab {

// `calls`: what the settings allow it in the time that they name. More than this, and it falls; chance has a
// larger part where few calls are allowed.
inline double coldBudget(double calls) {
  constexpr double kFew = 30;
  return calls < kFew ? calls + 3 * std::sqrt(calls) + 3 : calls + 2 * std::sqrt(calls) + 2;
}

}  // namespace myrtleloft::lab
