#include "lab/fleet_endpoint.h"

#include <algorithm>
#include <utility>

namespace myrtleloft::lab {

void FleetWitness::see(FleetRecord record) {
  record.atMs = nowMs();
  history.add(std::move(record));
}

void FleetWitness::turn() {
  const double now = nowMs(), tookMs = now - std::exchange(turnedMs_, now);
  history.turnsMs.push_back(now);
  if (tookMs > kTurnMs) see({.saw = Saw::kStall, .ms = tookMs});
}

void FleetWitness::end(const FleetRecord& call) {
  FleetRecord ended = call;
  ended.saw = Saw::kEnded;
  see(std::move(ended));
}

void FleetWitness::sweep(const std::string& id) {
  for (auto [at, last] = out_.equal_range(id); at != last;) {
    if (!hub.gone(at->second.connection)) {
      ++at;
      continue;
    }
    end(at->second.call);
    at = out_.erase(at);
  }
}

FleetEndpoint::FleetEndpoint(FleetWitness& witness, Facts facts, const std::vector<std::string>& relays)
    : witness_(witness), facts_(std::move(facts)), copies_(witness.hub) {
  for (const std::string& relay : relays)
    addresses_[relay] =
        witness.hub.listen({[this, relay](Hub::Id from, const Message& m) { onMessage(relay, from, m); },
                            [this](Hub::Id from) { onClosed(from); },
                            {}});
  witness.history.endpoints[facts_.uid] = {facts_.destination, facts_.zone};
  capacity(1);
}

Entry FleetEndpoint::entry(const std::string& relay, bool leaving) const {
  return {facts_.uid,         addresses_.at(relay), leaving ? "leaving" : "active",
          facts_.destination, facts_.zone,          facts_.bulk ? "large" : "other",
          facts_.perSecond};
}

void FleetEndpoint::capacity(double share) {
  witness_.see({.saw = Saw::kCapacity, .endpoint = facts_.uid, .ms = share * facts_.perSecond});
}

void FleetEndpoint::become(Mode mode) {
  const auto outage = [](Mode m) {
    return m != Mode::kServes && m != Mode::kSlow && m != Mode::kTellsWait && m != Mode::kSpoils &&
           m != Mode::kForgets;
  };
  const Mode before = std::exchange(mode_, mode);
  for (const auto& [relay, address] : addresses_) {
    if (mode == Mode::kRefuses) witness_.hub.refuse(address);
    if (before == Mode::kRefuses) witness_.hub.acceptAgain(address);
  }
  // Whom it refuses has been reset without a word from the hub.
  if (mode == Mode::kRefuses)
    for (const auto& [connection, bulk] : std::exchange(bulks_, {}))
      for (const FleetRecord& call : bulk.calls) witness_.end(call);
  if (mode == Mode::kRefuses)
    std::erase_if(witness_.out_, [this](const auto& at) {
      const bool here = at.second.call.endpoint == facts_.uid;
      if (here) witness_.end(at.second.call);
      return here;
    });
  if (outage(mode) && !outage(before)) witness_.see({.saw = Saw::kOutage, .endpoint = facts_.uid});
  if (!outage(before) || outage(mode)) return;
  backMs_ = steppedMs_ = witness_.nowMs();
  capacity(kColdShare);
  witness_.see({.saw = Saw::kBack, .endpoint = facts_.uid});
}

void FleetEndpoint::onMessage(const std::string& relay, Hub::Id from, const Message& m) {
  if (m.start.rfind("POST /inbox", 0) != 0) {
    witness_.see({.saw = Saw::kProbe, .relay = relay, .endpoint = facts_.uid});
    const bool up = mode_ == Mode::kServes || mode_ == Mode::kSlow || mode_ == Mode::kTellsWait;
    if (mode_ == Mode::kDrops) return witness_.hub.close(from);
    if (mode_ == Mode::kSilent) return;
    return witness_.hub.send(from, up ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                      : "HTTP/1.1 503 Shut\r\nContent-Length: 0\r\n\r\n");
  }
  forgets_.erase(from);
  copies_.onCall(from, witness_.nowMs());
  if (m.start.rfind("POST /inbox/bulk", 0) == 0) return onBulk(relay, from, m);
  FleetRecord call{.saw = Saw::kCall,
                   .relay = relay,
                   .id = m.header("x-request-id"),
                   .endpoint = facts_.uid,
                   .key = m.header("idempotency-key"),
                   .call = ++witness_.lastCall_};
  answered_.erase(from);
  witness_.sweep(call.id);
  witness_.see(call);
  if (mode_ == Mode::kDrops) {
    witness_.end(call);
    return witness_.hub.close(from);
  }
  const double dueMs = witness_.nowMs() + serviceTimeMs(call);
  witness_.out_.emplace(call.id, FleetWitness::Out{from, call, dueMs});
}

// Copies come well before the answer of the call that they come behind.
double FleetEndpoint::serviceTimeMs(const FleetRecord& call) const {
  constexpr double kLeastMs = 30;
  constexpr std::int64_t kSpreadMs = 70;
  if (answersTwice) return kLeastMs + static_cast<double>(call.call * 37 % kSpreadMs);
  return mode_ == Mode::kSlow ? slowMs : serviceMs;
}

void FleetEndpoint::onClosed(Hub::Id from) {
  const auto known = answered_.find(from);
  if (known != answered_.end()) {
    witness_.end(known->second);
    answered_.erase(known);
  }
  endBulk(from);
  std::erase_if(witness_.out_, [&](const auto& at) {
    if (at.second.connection != from) return false;
    witness_.end(at.second.call);
    return true;
  });
}

// The message has run. It is delivered where a whole first line with 200 was written.
bool FleetEndpoint::spoil(const FleetWitness::Out& out) {
  const bool delivered = out.call.call % 2 == 0;
  witness_.hub.send(out.connection,
                    delivered ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" : "HTTP/1.1 2");
  if (mode_ == Mode::kHalts && !delivered) return false;
  FleetRecord answer = out.call;
  answer.saw = Saw::kAnswer;
  answer.status = delivered ? 200 : 500;
  witness_.see(std::move(answer));
  if (mode_ == Mode::kSpoils) witness_.hub.close(out.connection);
  return true;
}

bool FleetEndpoint::answer(const FleetWitness::Out& out) {
  if (mode_ == Mode::kSpoils || mode_ == Mode::kHalts) return spoil(out);
  const double waitMs = std::max(0.0, waitUntilMs - witness_.nowMs());
  const int status = statusNow(out.call, waitMs);
  const std::string wait = status == 429 ? "Retry-After: " + std::to_string(waitMs / 1000) + "\r\n" : "";
  const std::string text =
      "HTTP/1.1 " + std::to_string(status) + " As told\r\n" + wait + "Content-Length: 0\r\n\r\n";
  witness_.hub.send(out.connection, text);
  if (answersTwice) copies_.onAnswer(out.connection, text, out.call.call, witness_.nowMs());
  answered(out.call, status, waitMs);
  answered_[out.connection] = out.call;
  if (mode_ == Mode::kForgets)
    forgets_[out.connection] = witness_.nowMs() + static_cast<double>(out.call.call % 60);
  return true;
}

void FleetEndpoint::turn() {
  const double now = witness_.nowMs();
  if (now < backMs_ + kColdMs + kStepMs && now >= steppedMs_ + kStepMs) {
    steppedMs_ = now;
    capacity(std::min(1.0, kColdShare + (1 - kColdShare) * (now - backMs_) / kColdMs));
  }
  forgetIdle(now);
  copies_.turn(now);
  if (mode_ == Mode::kSilent) return;
  turnBulks(now);
  for (auto at = witness_.out_.begin(); at != witness_.out_.end();) {
    FleetWitness::Out& out = at->second;
    const bool due = out.call.endpoint == facts_.uid && out.dueMs <= now && !out.halted;
    at = due && settle(out) ? witness_.out_.erase(at) : std::next(at);
  }
}

bool FleetEndpoint::settle(FleetWitness::Out& out) {
  if (witness_.hub.gone(out.connection)) {
    witness_.end(out.call);
    return true;
  }
  out.halted = !answer(out);
  return !out.halted;
}

}  // namespace myrtleloft::lab
