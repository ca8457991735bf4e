#include <algorithm>

#include "config/sections.h"
#include "net/socket.h"

namespace myrtleloft {

// Spans that are left out move with those that are given: each state begins where the one before ends.
void readMembership(Section& s, OperatorFile::Membership& m) {
  constexpr std::int64_t kYearS = 366 * 24 * 3600, kMinuteMs = 60000;
  m.keep = s.flag("keep").value_or(m.keep);
  m.refuse = s.flag("refuse").value_or(m.refuse);
  const auto fresh = s.whole("fresh_s", 1, kYearS), ageing = s.whole("ageing_s", 1, kYearS),
             old = s.whole("old_s", 1, kYearS);
  m.freshS = fresh.value_or(m.freshS);
  m.ageingS = ageing.value_or(std::max(m.ageingS, m.freshS));
  m.oldS = old.value_or(std::max(m.oldS, m.ageingS));
  if (m.ageingS < m.freshS) s.refuse("ageing_s", "expected no less than fresh_s");
  if (m.oldS < m.ageingS) s.refuse("old_s", "expected no less than ageing_s");
  m.classes = s.choices("classes", {"fresh", "ageing", "old", "expired"});
  m.guardPercent = static_cast<int>(s.whole("guard_percent", 0, 99).value_or(m.guardPercent));
  m.guardHoldS = s.whole("guard_hold_s", 1, kYearS).value_or(m.guardHoldS);
  m.directories = s.texts("directories", "an IPv4 address and port, as in \"10.0.0.5:8500\"",
                          [](const std::string& text) { return parseAddress(text).has_value(); });
  const auto least = s.whole("back_off_ms", 10, kMinuteMs), most = s.whole("most_back_off_ms", 10, kMinuteMs);
  m.backOffMs = least.value_or(m.backOffMs);
  if (most) m.mostBackOffMs = *most;
  if (m.mostBackOffMs && *m.mostBackOffMs < m.backOffMs)
    s.refuse("most_back_off_ms", "expected no less than back_off_ms");
}

}  // namespace myrtleloft
