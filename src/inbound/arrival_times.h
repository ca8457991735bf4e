// Estimates when the requests of a client's connection arrived. This may be long before they are read, if the
// process was stopped or the connection waited in the backlog. The deadline of a request is counted from its
// arrival.
//
//   ArrivalTimes times(acceptedMs);
//   times.beforeRead({nowMs, loop.quietAtMs(fd), lastArrivalAgeMs(fd)});
//   const Io io = readSome(fd, buffer);
//   times.afterRead(!hasUnreadBytes(fd));
//   const double ms = times.requestMs(isLast);   // of a request that this read completed
//
// No estimate is later than the true time, wherever the process is stopped, with one exception: if the system
// does not provide the time at which bytes arrived, a stop inside poll(2) is not detected. Times are in
// milliseconds on the loop's clock. No I/O, O(1), to be used from one thread.
#pragma once

#include <optional>

namespace myrtleloft {

class ArrivalTimes {
 public:
  // What is known just before a read.
  struct Observation {
    double nowMs = 0;  // must be read before the age
    // A time without unread bytes: Loop::quietAtMs, or likelyQuietAtMs if the age is unknown.
    double quietAtMs = 0;
    std::optional<double> ageMs;  // milliseconds since the last bytes arrived, if known
  };

  // `quietAtMs` is a time at which nothing had arrived on the connection.
  explicit ArrivalTimes(double quietAtMs = 0)
      : emptyAtMs_(quietAtMs), firstBytesMs_(quietAtMs), lastByteMs_(quietAtMs) {}

  void beforeRead(const Observation& observed);
  // `drained` is true if the read took all bytes that had arrived.
  void afterRead(bool drained);

  // Returns when the last byte of the last read arrived.
  double lastByteMs() const { return lastByteMs_; }
  // Returns when the last byte of a request arrived that the last read completed. `isLast` is true if that
  // byte was also the last one read; otherwise only a lower bound is known.
  double requestMs(bool isLast) const { return isLast && drained_ ? lastByteMs_ : firstBytesMs_; }

 private:
  double emptyAtMs_;  // a time without unread bytes
  // Of the last read: a lower bound for the arrival of its first bytes, and the arrival of its last byte.
  double firstBytesMs_, lastByteMs_;
  double readStartMs_ = 0;  // when the last read began
  bool drained_ = true;
};

}  // namespace myrtleloft
