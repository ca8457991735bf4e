// When the requests of one client's connection came, which may be long before they are read: the process may
// have stood still, or the connection have waited in the backlog for room. A request's time runs from then.
//
//   ArrivalTimes times(acceptedMs);
//   times.beforeRead({nowMs, loop.quietAtMs(fd), lastArrivalAgeMs(fd)});
//   const Io io = readSome(fd, buffer);
//   times.afterRead(!hasUnreadBytes(fd));
//   const double ms = times.requestMs(nothingBehind);   // of a request that was complete with that read
//
// No moment that it tells is later than the true one, wherever the process stands still meanwhile; but where
// the system does not tell when bytes came, a stand within a poll is not seen. Times are
// milliseconds of the loop's clock. No I/O; one thread; O(1).
#pragma once

#include <optional>

namespace myrtleloft {

class ArrivalTimes {
 public:
  // What is known just before a read.
  struct Look {
    double nowMs = 0;  // taken before the age
    // Nothing lay unread then: Loop::quietAtMs, or likelyQuietAtMs where the system does not tell the age.
    double quietAtMs = 0;
    std::optional<double> ageMs;  // how long ago the last bytes came, if the system tells
  };

  // `quietAtMs`: nothing of the connection had come then.
  explicit ArrivalTimes(double quietAtMs = 0)
      : emptyMs_(quietAtMs), firstMs_(quietAtMs), lastMs_(quietAtMs) {}

  void beforeRead(const Look& look);
  // `drained`: the read took all that had come.
  void afterRead(bool drained);

  // When the last byte of the last read came.
  double lastByteMs() const { return lastMs_; }
  // When the last byte of a request came that was complete with the last read, and not before.
  // `nothingBehind`: its last byte was also the last of that read. Else only a bound is known.
  double requestMs(bool nothingBehind) const { return nothingBehind && drained_ ? lastMs_ : firstMs_; }

 private:
  double emptyMs_;           // what is unread came no earlier
  double firstMs_, lastMs_;  // of the last read: its first bytes came no earlier, its last ones then
  double readMs_ = 0;        // when it began
  bool drained_ = true;
};

}  // namespace myrtleloft
