// How the day of a ColdFleet is drawn: settings, receivers and their outage, restarts, and what is handed in.
#include <algorithm>
#include <cmath>

#include "lab/cold_fleet.h"

namespace myrtleloft::lab {

ColdFleet::ColdFleet(int forwarders, std::uint64_t seed, ShutWait shutWait)
    : random_(seed), shutWait_(shutWait) {
  settings_.instanceCount = forwarders;
  drawSettings();
  drawReceivers();
  for (const auto& [target, place] : places_) {
    const Receiver& r = receivers_[place.receiver];
    const double rough = settings_.ratingKind == RatingKind::kRough ? between(0.7, 1.4) : 1;
    list_.entries.push_back({target, 0, 0, r.destination, EndpointState::kRunning, r.perS * rough});
  }
  double sum = 0;
  for (int i = 0; i < forwarders; ++i) {
    settings_.instanceIndex = i;
    settings_.seed = seed * 1000 + static_cast<std::uint64_t>(i);
    fleet_.push_back(std::make_unique<Dispatcher>(settings_));
    put(0, i, list_);
    upTo_.push_back(sum -= std::log(1 - unit()));
  }
  drawTraffic();
}

void ColdFleet::drawSettings() {
  Settings& s = settings_;
  s.zone = 0;
  s.batchIntervalMs = kColdTickMs;
  s.maxConcurrentCalls = 5 + below(10);
  s.maxPendingRequests = 112;
  s.maxAttempts = 12;
  s.maxRetryAfterMs = 3000;
  s.connectTimeoutMs = 1500;
  s.connectionIdleMs = 10000;
  s.mayCancel = true;
  s.kindHasSeparateLimits = {unit() < 0.7};
  s.kindBatchSize = {unit() < 0.4 ? 10 : 1};
  s.slowStartShare = between(0.12, 0.25);
  s.slowStartMs = between(7500, 11000);
  s.overloadFactor = between(1.8, 2.6);
  s.overloadWindowMs = 2000;
  s.orderHoldAfterAmbiguityMs = 400;
  s.weightDecay = WeightDecay::kHalving;
  if (unit() < 0.3) strays_ = between(0.01, 0.15);
  const double listed = unit();
  s.ratingKind = listed < 0.5 ? RatingKind::kNone : listed < 0.8 ? RatingKind::kRough : RatingKind::kNominal;
  for (const Idempotency repeat :
       {Idempotency::kIdempotent, Idempotency::kIdempotentWithKey, Idempotency::kNonIdempotent}) {
    ClassSettings c;
    c.idempotency = repeat;
    c.latencyObjectiveMs = 2000;
    c.maxLifetimeMs = repeat == Idempotency::kIdempotent ? 16000 : 28000;
    c.idempotencyWindowMs = 8000;
    c.lateWeight = 0.5;
    s.classes.push_back(c);
  }
  verdict_.batches = s.kindBatchSize[0] > 1;
  verdict_.rated = s.ratingKind != RatingKind::kNone;
}

void ColdFleet::drawReceivers() {
  const double most = settings_.instanceCount < 20 ? 25 : settings_.instanceCount < 100 ? 50 : 100;
  for (int d = 1; d <= 4; ++d) {
    const int places = 1 + below(3);
    for (int e = 0; e < places; ++e) {
      if (e == 0 || settings_.kindHasSeparateLimits[0]) {
        Receiver& r = receivers_.emplace_back();
        r.perS = most / 10 * std::pow(10, unit());
        r.tookMs = between(60, 260);
        r.tells = unit() < 0.5;
        r.destination = d;
        r.name = "e" + std::to_string(d) + std::to_string(e);
        r.told.assign(static_cast<std::size_t>(settings_.instanceCount), false);
      }
      const std::string target = "e" + std::to_string(d) + std::to_string(e);
      places_[target] = {target, receivers_.size() - 1};
    }
  }
  verdict_.several = unit() < 0.3;
  const double fromMs = between(12000, 18000), toMs = fromMs + between(5000, 16000);
  const auto fail = [&](Receiver& r) {
    r.outage = static_cast<Outage>(below(4));
    if (shutWait_ == ShutWait::kUntilReturn) r.outage = Outage::kShut;
    verdict_.outage = r.outage;
    r.fromMs = fromMs, r.toMs = toMs;
    if (unit() < 0.3) r.lowered = between(0.4, 0.8);
    verdict_.busy = r.perS * 0.6 / settings_.instanceCount * settings_.slowStartMs >= 1000;
  };
  if (verdict_.several)
    for (Receiver& r : receivers_)
      if (unit() < 0.4) fail(r);
  fail(someReceiver());
  endMs_ = toMs + settings_.slowStartMs + 3000;
  verdict_.restarts = unit() < 0.3;
  if (!verdict_.restarts) return;
  const double share = between(0.1, 1), atMs = coldTicks(between(fromMs + 500, toMs + 1000));
  for (int i = 0; i < settings_.instanceCount; ++i)
    if (unit() < share) restarts_.emplace(coldTicks(between(atMs, atMs + 1000)), i);
}

ColdFleet::Receiver& ColdFleet::someReceiver() {
  return receivers_[static_cast<std::size_t>(below(static_cast<int>(receivers_.size())))];
}

void ColdFleet::drawTraffic() {
  const double load = between(0.4, 1.1);
  const double stopMs = endMs_ - (unit() < 0.5 ? 0 : between(3000, 15000));
  for (const Receiver& r : receivers_)
    for (double t = 10; t < stopMs; t -= std::log(1 - unit()) * 1000 / (load * r.perS))
      handIn(t, r.destination, 0, 0);
  const int clumps = unit() < 0.5 ? 0 : 1 + below(4);
  for (int i = 0; i < clumps; ++i) {
    const Receiver& r = someReceiver();
    const double returnMs = endMs_ - settings_.slowStartMs - 3000;
    const double t = unit() < 0.5 ? between(10000, stopMs) : between(returnMs - 2000, returnMs + 4000);
    for (int n = 5 + below(static_cast<int>(3 * r.perS)); n > 0; --n) handIn(t, r.destination, 0, 0);
  }
  verdict_.clumps = clumps > 0;
}

int ColdFleet::someForwarder() {
  const auto at = std::ranges::upper_bound(upTo_, unit() * upTo_.back());
  return static_cast<int>(std::min<std::ptrdiff_t>(at - upTo_.begin(), settings_.instanceCount - 1));
}

// notAfterMs: of a client that comes again; 0: the class's time from now.
void ColdFleet::handIn(double atMs, std::int64_t destination, double notAfterMs, int tries) {
  RequestEvent m;
  m.id = std::to_string(++lastMessage_);
  m.classIndex = below(3);
  m.destination = destination;
  atMs = coldTicks(atMs);
  const ClassSettings& c = settings_.classes[static_cast<std::size_t>(m.classIndex)];
  m.deadlineMs = notAfterMs > 0 ? notAfterMs : atMs + c.maxLifetimeMs;
  m.isRetry = tries > 0;
  verdict_.handedIn += tries == 0;
  Open& open = open_[m.id];
  open.event = m;
  open.forwarder = someForwarder();
  open.tries = tries;
  open.bornMs = atMs;
  put(atMs, open.forwarder, m);
}

}  // namespace myrtleloft::lab
