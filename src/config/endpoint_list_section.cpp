// Reads the section [membership].
#include <algorithm>

#include "config/operator_sections.h"
#include "net/socket.h"

namespace myrtleloft {
namespace {

constexpr std::int64_t kYearSeconds = std::int64_t{366} * 24 * 3600;
constexpr std::int64_t kMinuteMs = 60000;

// Reads the maximum ages of the list in each state. Each state begins where the one before ends, so the
// maximum age of a state must not be less than that of the state before. If a key is missing and its default
// is too low, the maximum age of the state before is used.
void readMaxAges(SectionReader& reader, OperatorFile::EndpointListSection& section) {
  const auto fresh = reader.integer("fresh_s", 1, kYearSeconds);
  const auto ageing = reader.integer("ageing_s", 1, kYearSeconds);
  const auto stale = reader.integer("old_s", 1, kYearSeconds);
  section.freshSeconds = fresh.value_or(section.freshSeconds);
  section.ageingSeconds = ageing.value_or(std::max(section.ageingSeconds, section.freshSeconds));
  section.staleSeconds = stale.value_or(std::max(section.staleSeconds, section.ageingSeconds));
  if (section.ageingSeconds < section.freshSeconds) reader.reject("ageing_s", "expected at least fresh_s");
  if (section.staleSeconds < section.ageingSeconds) reader.reject("old_s", "expected at least ageing_s");
}

void readBackoff(SectionReader& reader, OperatorFile::EndpointListSection& section) {
  const auto minimum = reader.integer("back_off_ms", 10, kMinuteMs);
  const auto maximum = reader.integer("most_back_off_ms", 10, kMinuteMs);
  section.minBackoffMs = minimum.value_or(section.minBackoffMs);
  if (maximum) section.maxBackoffMs = *maximum;
  if (section.maxBackoffMs && *section.maxBackoffMs < section.minBackoffMs)
    reader.reject("most_back_off_ms", "expected at least back_off_ms");
}

}  // namespace

void readEndpointList(SectionReader& reader, OperatorFile::EndpointListSection& section) {
  section.cache = reader.flag("keep").value_or(section.cache);
  section.rejectByAge = reader.flag("refuse").value_or(section.rejectByAge);
  readMaxAges(reader, section);
  for (const SectionReader::NamedChoice& entry :
       reader.choicePerKey("classes", {"fresh", "ageing", "old", "expired"}))
    section.classes.push_back({entry.key, entry.index});
  section.guardPercent =
      static_cast<int>(reader.integer("guard_percent", 0, 99).value_or(section.guardPercent));
  section.guardHoldSeconds =
      reader.integer("guard_hold_s", 1, kYearSeconds).value_or(section.guardHoldSeconds);
  section.directories =
      reader.textList("directories", "an IPv4 address and port, as in \"10.0.0.5:8500\"",
                      [](const std::string& text) { return parseAddress(text).has_value(); });
  readBackoff(reader, section);
}

}  // namespace myrtleloft
