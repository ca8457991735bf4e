#include "policy/health.h"
#include "policy/links.h"
#include "policy/messages.h"
#include "policy/steps.h"

namespace myrtleloft::policy {

void take(Book& b, const MessageEvent& e) {
  Message* added = b.add(e);
  if (!added) return;
  b.cameAgain += e.isRetry;
  Message& m = *added;
  const ClassSettings& c = *m.cls;
  m.aimSpanMs = std::max(1.0, c.targetMs + c.aimStretch * e.effortMs);
  const double born = c.hardLimitMs > 0 ? e.notAfterMs - c.hardLimitMs : b.nowMs;
  m.aimMs = std::min(born + m.aimSpanMs, m.notAfterMs);
  if (c.fifoByKey && !e.orderKey.empty()) {
    m.key = &b.keys[e.orderKey];
    m.key->line.push_back(m.seq);
  }
  mayPass(b, *m.dest);
  if (!b.recovering) m.dest->arrived.add(b.nowMs, b.s.coldMs);
  for (const EarlierAttempt& earlier : e.doubts) doubt(b, m, earlier.sentMs, earlier.zone);
  b.hold(m);
  // Taken on before a restart: what its earlier attempts forbid is as if they had been made here.
  if (m.attempts > 0) giveUpIfSpent(b, m);
}

void take(Book& b, const HangUpEvent& e) {
  const auto at = b.messages.find(e.id);
  if (at != b.messages.end() && !at->second.over) finish(b, at->second);
}

void take(Book& b, const OutcomeEvent& e) {
  using enum Outcome;
  const auto at = b.messages.find(e.id);
  if (at == b.messages.end() || at->second.call < 0 || e.attempt != at->second.attempts - 1) return;
  Message& m = at->second;
  const auto found = b.calls.find(m.call);
  const Call call = found->second;
  Route& r = *call.route;
  Scope& s = *r.scope;
  found->second.judged = true;
  if (--found->second.left == 0) {
    if (e.outcome == kGood || e.outcome == kBad || e.outcome == kFull) linkIdle(b, r);
    b.end(found->second);
  }
  m.call = -1;
  if (e.report.limitPerS) s.limitPerS = *e.report.limitPerS;
  // A bulk call may tell a wait beside messages that it delivered; only "not sent" uses the field otherwise.
  if (e.outcome != kNop && e.detail > 0)
    s.waitUntilMs = std::max(s.waitUntilMs, b.nowMs + static_cast<double>(e.detail));
  if (!call.judged) judge(b, r, call, e.outcome);
  if (e.outcome == kFull && e.detail > b.s.fallMs) s.earned = false;
  const bool unknown = e.outcome == kLate || e.outcome == kReset || e.outcome == kCancelled;
  if (unknown && m.key) m.key->restUntilMs = b.nowMs + b.s.settleAfterDoubtMs;
  if (unknown || e.outcome == kBad) doubt(b, m, call.sentMs, r.zone);
  if (e.ended || m.over || e.outcome == kGood) return finish(b, m);
  if (e.outcome != kNop && !m.triedAt(&r)) m.tried.push_back(&r);
  m.lates += e.outcome == kLate;
  b.hold(m);
  giveUpIfSpent(b, m);
}

}  // namespace myrtleloft::policy
