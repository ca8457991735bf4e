// What is learned of an endpoint, as one relay tells it to another: each part with its age. A hint may slow
// whoever takes it, and nothing else.
//
//   Brakes after = applied(hint, own, nowMs, heldMs, fade);
//
// `Brakes` is the part of what a relay knows that keeps calls back. They are ordered: a is *no freer* than b
// when each part of a keeps back at least as much. For every hint, `applied` is no freer than what it was
// applied to; twice is the same as once, and in which order two hints of one moment come is all the same. So
// a hint never ends a told wait, a drain or a bound, never raises a pace or a cap, and never says that an
// endpoint is well.
//
// Ages are counted by the teller's own clock up to when it told, and by the hearer's from then on: no clocks
// are compared. Without I/O; safe for several threads; O(1).
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace myrtleloft {

struct Aged {
  double value = 0;
  double ageMs = 0;  // since it was learned, as of the telling
};

struct Hint {
  std::string endpoint;               // its uid
  std::optional<Aged> pacePerS;       // the own share that it was held to
  std::optional<Aged> usualMs;        // usual time of an answer
  std::optional<Aged> refusedShare;   // of its calls, refused as full
  std::optional<Aged> ill;            // odds that it is out
  std::optional<Aged> waitMs;         // of a told wait what was left
  std::optional<Aged> connectionCap;  // connections at which it refused more
};

struct Brakes {
  double pacePerS = std::numeric_limits<double>::infinity();
  double usualMs = 0;        // learned here; 0: not known
  double usualHintedMs = 0;  // stands in while none is learned here
  double refusedShare = 0;
  double ill = 0;
  double waitUntilMs = -std::numeric_limits<double>::infinity();
  double connectionCap = std::numeric_limits<double>::infinity();
  bool draining = false;
  bool bounded = false;  // its pace is bounded after a failure
  friend bool operator==(const Brakes&, const Brakes&) = default;
};

// How hints grow old. Both follow from settings: `HintFade::of`.
struct HintFade {
  double halvesMs =
      0;  // what slows is trusted half as much, a pace is taken for twice as fast, after so long
  double forgetMs = 0;       // an older part counts for nothing
  double mostWaitMs = 0;     // no hint makes anybody wait longer
  double leastPacePerS = 0;  // nor go slower: the slowest that is told apart from a standstill
  // coldMs and maxRetryAfterMs of the settings: what was seen of an endpoint outlasts the span in which it
  // warms up by little, and after two of them the module forgets its own failures too.
  static HintFade of(double coldMs, double maxRetryAfterMs);
};

// A hint alone never says that an endpoint is out (odds of one): that takes a failure seen here.
inline constexpr double kMostHintedIll = 0.5;

// Whether `a` keeps back at least as much as `b`, in each part.
bool noFreer(const Brakes& a, const Brakes& b);
// heldMs: how long ago it was told.
Brakes applied(const Hint& hint, const Brakes& own, double nowMs, double heldMs, const HintFade& fade);

}  // namespace myrtleloft
