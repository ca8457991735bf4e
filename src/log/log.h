// The relay's structured log, based on spdlog: one event per line, with a stable name, fields and a text.
//
//   Log log(std::cerr, {LogFormat::kLogfmt, LogLevel::kInfo, "n3"}, clock);
//   log.write(LogLevel::kInfo, "list.initial", "discovery: starting with the cached list, rev 41",
//             {{"rev", 41}});
//   log.writeRateLimited(nowMs, LogLevel::kError, "journal.fault", "journal: EIO", {{"file", "x"}});
//
//   plain    discovery: starting with the cached list, rev 41
//   logfmt   time=2026-12-01T09:30:00.123Z level=info relay=n3 event=list.initial rev=41 msg="discovery: ..."
//   json     {"time":"2026-12-01T09:30:00.123Z","level":"info","relay":"n3","event":"list.initial",...}
//
// Bodies and idempotency keys of requests must never be logged. Copies of a Log write to the same stream and
// share the state of rate-limited events. Single-threaded. Each line costs one write and one flush of the
// stream.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "net/clock.h"

namespace myrtleloft {

enum class LogFormat { kPlain, kLogfmt, kJson };
enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LogOptions {
  LogFormat format = LogFormat::kPlain;
  LogLevel minLevel = LogLevel::kInfo;  // lines below this level are not written
  std::string relay;                    // name of the relay, in each line except the plain ones
  double repeatIntervalMs = 1000;       // a rate-limited event is written at most once in this time
};

struct LogField {
  using Value = std::variant<std::int64_t, double, bool, std::string>;

  template <typename T>
  LogField(std::string_view fieldName, const T& fieldValue) : name(fieldName) {
    if constexpr (std::is_same_v<T, bool>)
      value = fieldValue;
    else if constexpr (std::is_integral_v<T>)
      value = static_cast<std::int64_t>(fieldValue);
    else if constexpr (std::is_floating_point_v<T>)
      value = static_cast<double>(fieldValue);
    else
      value = std::string(fieldValue);
  }

  std::string name;
  Value value;
};

// Returns the value in logfmt notation, quoted if necessary.
std::string asText(const LogField::Value& value);

class Log {
 public:
  using Fields = std::vector<LogField>;

  // Creates a log in the plain format that uses the system's clock.
  Log(std::ostream& out);  // NOLINT(google-explicit-constructor): a stream is a log
  // `clock` must outlive all copies of the log.
  Log(std::ostream& out, const LogOptions& options, const Clock& clock);

  // Whether lines of that level are written.
  bool writes(LogLevel level) const;
  // `event` is a dotted lower-case name that must not change after a release; docs/operators/log.md lists
  // them.
  void write(LogLevel level, std::string_view event, std::string_view text, const Fields& fields = {}) const;
  // For events that may recur rapidly: writes a line only if the event was not written within the last
  // `repeatIntervalMs`. The line then states how many occurrences were suppressed since.
  void writeRateLimited(double nowMs, LogLevel level, std::string_view event, std::string_view text,
                        const Fields& fields = {}) const;
  // Writes lines of the form "words: key=value ..." as events: the words become the event's name, the pairs
  // its fields.
  void writeCounters(std::string_view lines) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace myrtleloft
