// The stand-ins read and write in turns of one loop, so what a relay writes is seen up to a turn later, and
// behind a proxy a turn later for each hop. On a busy machine a turn may take long: it is time of the lab,
// and no relay's. These bound when bytes were at the lab's outer edge, by when its turns began.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace myrtleloft::lab {

// Turns that bytes may take between a relay's socket and the stand-in that notes them; one that is only
// accepted in a turn is read in the next.
inline constexpr std::size_t kNoticeTurns = 2;  // no proxy: the connection is accepted, and read
// Accepted by the proxy, read there, passed on once its own connection is up, read by the endpoint.
inline constexpr std::size_t kProxiedCallTurns = 4;
inline constexpr std::size_t kProxiedAnswerTurns = 1;
// So much later than the beginning of a call the end of one before it may be seen, which the proxy passes on
// in the turn after the one in which it sees it.
inline constexpr std::size_t kProxiedOrderTurns = 2;

class AuditorTurns {
 public:
  // `beganMs`: of each turn, in order; it must outlive this. Empty: no turn takes any time.
  explicit AuditorTurns(const std::vector<double>& beganMs) : beganMs_(beganMs) {}

  // When bytes that were noted at that moment were at the lab's edge, at the earliest.
  double earliestMs(double notedAtMs, std::size_t turns) const {
    const std::size_t in = indexOf(notedAtMs);
    if (in == beganMs_.size()) return notedAtMs;
    return std::min(notedAtMs, beganMs_[in - std::min(in, turns)]);
  }
  // When bytes that the lab sent at that moment were at its edge, at the latest.
  double latestMs(double sentAtMs, std::size_t turns) const {
    const std::size_t in = indexOf(sentAtMs);
    if (in + turns + 1 >= beganMs_.size()) return sentAtMs;
    return std::max(sentAtMs, beganMs_[in + turns + 1]);
  }

 private:
  // The turn in which that moment lies; as many as there are: in none.
  std::size_t indexOf(double atMs) const {
    const auto next = std::upper_bound(beganMs_.begin(), beganMs_.end(), atMs);
    return next == beganMs_.begin() ? beganMs_.size() : static_cast<std::size_t>(next - beganMs_.begin()) - 1;
  }

  const std::vector<double>& beganMs_;
};

}  // namespace myrtleloft::lab
