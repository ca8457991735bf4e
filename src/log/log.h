// The relay's log: one event a line, each with a stable name and fields beside its text, on spdlog.
//
//   Log log(std::cerr, {LogFormat::kLogfmt, LogLevel::kInfo, "n3"}, clock);
//   log.write(LogLevel::kInfo, "list.initial", "discovery: beginning with the kept list, rev 41", {{"rev",
//   41}}); log.repeated(nowMs, LogLevel::kError, "journal.fault", "journal: cannot write x: EIO", {{"file",
//   "x"}});
//
//   plain    discovery: beginning with the kept list, rev 41
//   logfmt   time=2026-12-01T09:30:00.123Z level=info relay=n3 event=list.initial rev=41 msg="discovery: ..."
//   json {"time":"2026-12-01T09:30:00.123Z","level":"info","relay":"n3","event":"list.initial","rev":41,...}
//
// No body and no idempotency key of a message is ever a field or in a text. A copy writes to the same place;
// what was said of repeated events is shared. One thread. A line costs one write to the stream, flushed.
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
  LogLevel least = LogLevel::kInfo;  // what is below is left out
  std::string relay;                 // named in each line but the plain ones
  double againMs = 1000;             // of a repeated event, at most one line in so long
};

struct LogField {
  using Value = std::variant<std::int64_t, double, bool, std::string>;

  template <typename T>
  LogField(std::string_view fieldName, const T& given) : name(fieldName) {
    if constexpr (std::is_same_v<T, bool>)
      value = given;
    else if constexpr (std::is_integral_v<T>)
      value = static_cast<std::int64_t>(given);
    else if constexpr (std::is_floating_point_v<T>)
      value = static_cast<double>(given);
    else
      value = std::string(given);
  }

  std::string name;
  Value value;
};

// A value as the plain form shows it.
std::string asText(const LogField::Value& value);

class Log {
 public:
  using Fields = std::vector<LogField>;

  // Plain, on the system's clock.
  Log(std::ostream& out);  // NOLINT(google-explicit-constructor): a stream is a log
  // `clock` outlives all copies.
  Log(std::ostream& out, const LogOptions& options, const Clock& clock);

  // Whether lines of that level are written at all.
  bool writes(LogLevel level) const;
  // `event`: dotted, lower case, never changed once it is out; docs/operators/log.md lists them.
  void write(LogLevel level, std::string_view event, std::string_view text, const Fields& fields = {}) const;
  // For what may come again at once: says it if it did not within the last `againMs`, and then how often it
  // came since.
  void writeRateLimited(double nowMs, LogLevel level, std::string_view event, std::string_view text,
                        const Fields& fields = {}) const;
  // Lines of "words: key=value ..."; the words become the event, the pairs its fields.
  void pairs(std::string_view lines) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace myrtleloft
