#include "policy/messages.h"

#include "policy/constants.h"

namespace myrtleloft::policy {

bool harmless(const Message& m) { return m.cls->repeat != Repeat::kOnce; }

bool maySend(const Book& b, const Message& m, const Route& r) {
  const auto in = [](const auto& set, int v) { return set.empty() || std::ranges::count(set, v) > 0; };
  const ClassSettings& c = *m.cls;
  if (!in(c.allowedZones, r.zone) || !in(c.allowedKinds, r.kind)) return false;
  if (!m.mayHaveRun() || c.repeat == Repeat::kRepeatable) return true;
  if (c.repeat == Repeat::kOnce || b.nowMs > m.lastMs) return false;
  if (c.group != Group::kZone) return true;  // a cell is a destination, and no other is ever tried
  return std::ranges::all_of(m.doubtZones, [&](int zone) { return zone == r.zone; });
}

bool mayRefuse(const Message& m) {
  return !m.mayHaveRun() || m.cls->repeat == Repeat::kRepeatable ||
         (m.cls->repeat == Repeat::kByKey && m.cls->group == Group::kAll);
}

void doubt(const Book& b, Message& m, double sentMs, int zone) {
  // Its window's end, less what a call may wait for its connection.
  if (!m.mayHaveRun() && m.cls->repeat == Repeat::kByKey)
    m.lastMs = std::min(m.notAfterMs, sentMs + m.cls->memorySpanMs * kWindowShare - b.s.connectTimeoutMs);
  m.doubtZones.push_back(zone);
}

double worthAt(const Book& b, const Message& m, double t) {
  const ClassSettings& c = *m.cls;
  if (t > m.notAfterMs) return 0;
  if (t <= m.aimMs) return c.worth;
  if (b.s.fade == Fade::kHalves)
    return c.worth * std::max(c.lateWorth, std::exp2((m.aimMs - t) / m.aimSpanMs));
  return c.worth * (1 - (1 - c.lateWorth) * (t - m.aimMs) / std::max(1.0, m.notAfterMs - m.aimMs));
}

double lossByWaiting(const Book& b, const Message& m, double queueMs) {
  const double horizon = std::max(m.aimSpanMs * kHorizon, queueMs), soon = b.nowMs + b.usualOfAllMs;
  return worthAt(b, m, soon) - worthAt(b, m, soon + horizon);
}

}  // namespace myrtleloft::policy
