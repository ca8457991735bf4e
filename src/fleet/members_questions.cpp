// Pings of `Members`: its own probes, indirect pings for others, and the results of missing replies.
#include <algorithm>
#include <utility>

#include "fleet/members.h"

namespace myrtleloft {

std::string Members::dueSuspect(double nowMs) const {
  const Member* due = nullptr;
  for (const Member& m : table_.all()) {
    const MemberIncarnation* record = m.present();
    if (record == nullptr || record->state != MemberState::kSuspect) continue;
    if (nowMs < record->suspectSinceMs + suspicionTimeoutMs() * stretch()) continue;
    if (due == nullptr || m.pingedAtMs < due->pingedAtMs) due = &m;
  }
  return due == nullptr ? std::string() : due->name;
}

std::vector<std::string> Members::helpersFor(const std::string& target, bool linkedOnly) const {
  std::vector<std::string> helpers;
  for (const Member& m : table_.all()) {
    const MemberState state = m.state();
    const bool there = state == MemberState::kAlive || state == MemberState::kSuspect;
    if (m.name != target && there && (m.linked || !linkedOnly)) helpers.push_back(m.name);
  }
  return helpers;
}

void Members::startPeriod(double nowMs) {
  periodAtMs_ = nowMs + tuning_.periodMs * stretch();
  catchUpPings_ = 0;
  if (catchingUp_) pingToCatchUp();
  std::vector<std::string> eligible;
  for (const Member& m : table_.all()) {
    const MemberState state = m.state();
    if (m.linked || state == MemberState::kAlive || state == MemberState::kSuspect)
      eligible.push_back(m.name);
  }
  const std::string name = round_.next(dueSuspect(nowMs), eligible);
  probe_ = {};
  if (name.empty()) return;
  Member& m = *table_.find(name);
  m.pingedAtMs = nowMs;
  probe_ = {MemberProbe::Phase::kDirect, name, ++lastNumber_, nowMs};
  probe_.directDeadlineMs = nowMs + tuning_.replyMs * stretch();
  probe_.deadlineMs = nowMs + 3 * tuning_.replyMs * stretch();
  if (m.linked) {
    sendPing(name, "", "", probe_.number);
  } else {
    pingIndirectly(nowMs);
  }
}

void Members::pingIndirectly(double nowMs) {
  probe_.phase = MemberProbe::Phase::kIndirect;
  probe_.deadlineMs = std::max(probe_.deadlineMs, nowMs + 2 * tuning_.replyMs * stretch());
  // The helper that reached the target last time is always asked, as few others may have a link to it.
  std::vector<std::string> linked = helpersFor(probe_.target, true), helpers;
  const std::string& via = table_.find(probe_.target)->via;
  if (std::erase(linked, via) > 0) helpers.push_back(via);
  for (std::string& third :
       round_.draw(std::move(linked), static_cast<std::size_t>(std::max(0, tuning_.helpers)))) {
    if (std::ssize(helpers) < tuning_.helpers) helpers.push_back(std::move(third));
  }
  probe_.helpers = static_cast<int>(helpers.size());
  for (const std::string& third : helpers) sendPing(third, probe_.target, "", probe_.number);
}

// A peer becomes suspect only if at least one helper reports that it did not reach it either. If no helper
// answers, this relay may be the one that is cut off.
void Members::evaluateProbe(double nowMs) {
  const MemberProbe probe = std::exchange(probe_, {});
  if (probe.unreached < probe.helpers) adjustHealth(1);
  const bool alone = helpersFor(probe.target, false).empty();
  if (probe.unreached == 0 && !alone) return;
  Member& m = *table_.find(probe.target);
  if (m.heardAtMs < probe.pingedAtMs) m.heard = false;
  m.hears = Hears::kNotKnown;
  m.via.clear();
  const MemberIncarnation* record = m.present();
  if (record == nullptr) return;
  GossipUpdate update = MemberTable::updateOf(m.name, *record);
  if (record->state == MemberState::kAlive) {
    update.state = MemberState::kSuspect;
  } else if (record->state == MemberState::kSuspect &&
             probe.pingedAtMs >= record->suspectSinceMs + suspicionTimeoutMs() * stretch()) {
    update.state = MemberState::kDead;
  }
  merge(nowMs, m, update);
}

void Members::pingToCatchUp() {
  std::vector<std::string> silent;
  for (const Member& m : table_.all()) {
    if (m.linked && m.answered < firstFreshNumber_) silent.push_back(m.name);
  }
  const auto drawn = round_.draw(silent, static_cast<std::size_t>(std::max(0, tuning_.catchUp)));
  for (const std::string& name : drawn) sendPing(name, "", "", ++lastNumber_);
  catchUpPings_ = static_cast<int>(drawn.size());
}

std::uint32_t Members::heardMsAgo(double nowMs, const std::string& name) const {
  const Member* m = table_.find(name);
  if (m == nullptr || !m->linked) return kNeverHeard;
  const double ago = nowMs - m->heardAtMs;
  return ago < kNeverHeard ? static_cast<std::uint32_t>(ago) : kNeverHeard;
}

Members::Step Members::onPing(double nowMs, const std::string& from, const Ping& ping) {
  begin(nowMs);
  if (!applyGossip(nowMs, from, ping.updates)) return finish(nowMs);
  if (ping.target.empty() || ping.target == own_.name) {
    const std::string& wants = ping.onBehalfOf.empty() ? from : ping.onBehalfOf;
    sendReply(from, ping.number, true, heardMsAgo(nowMs, wants), "");
    return finish(nowMs);
  }
  const Member* target = table_.find(ping.target);
  if (target == nullptr || !target->linked || indirectPings_.full()) {
    sendReply(from, ping.number, false, kNeverHeard, ping.target);
    return finish(nowMs);
  }
  const std::uint64_t ownNumber = ++lastNumber_;
  indirectPings_.add({from, ping.number, ownNumber, ping.target, nowMs + tuning_.replyMs});
  sendPing(ping.target, "", from, ownNumber);
  return finish(nowMs);
}

Members::Step Members::onReply(double nowMs, const std::string& from, const PingReply& reply) {
  begin(nowMs);
  // Ignores replies to numbers that were never assigned.
  if (reply.number == 0 || reply.number > lastNumber_ || !applyGossip(nowMs, from, reply.updates)) {
    return finish(nowMs);
  }
  Member& m = *table_.find(from);
  m.answered = std::max(m.answered, reply.number);
  repliedAtMs_ = nowMs;
  if (const auto ping = indirectPings_.answered(from, reply.number)) {
    sendReply(ping->from, ping->senderNumber, true, reply.heardMsAgo, ping->target);
  }
  if (reply.number != probe_.number || probe_.phase == MemberProbe::Phase::kNone) return finish(nowMs);
  if (from == probe_.target) {
    if (probe_.running()) adjustHealth(-1);
    probe_.phase = MemberProbe::Phase::kReached;
    m.hears = Hears::kYes;
  } else if (probe_.phase == MemberProbe::Phase::kIndirect) {
    if (!reply.reached) {
      probe_.unreached = std::min(probe_.unreached + 1, probe_.helpers);
    } else {
      probe_.phase = MemberProbe::Phase::kReached;
      if (Member* target = table_.find(probe_.target)) {
        target->via = from;
        updateHears(nowMs, *target, reply.heardMsAgo);
      }
    }
  }
  return finish(nowMs);
}

// A helper reached the target and we did not. If the target has received a message from us since the probe
// began, only its replies are lost.
void Members::updateHears(double nowMs, Member& target, std::uint32_t heardMsAgo) {
  const bool hears = target.linked && heardMsAgo <= nowMs - probe_.pingedAtMs;
  target.hears = hears ? Hears::kYes : Hears::kNo;
  // Within this time the target would have pinged us itself.
  const double turnsMs = 2.0 * (static_cast<double>(table_.size()) + 1) * tuning_.periodMs * stretch();
  const double since = hears ? probe_.pingedAtMs : nowMs - turnsMs;
  if (target.heardAtMs < since) target.heard = false;
}

bool Members::onMessage(double nowMs, const std::string& from, FleetKind kind, std::string_view payload,
                        Step& step) {
  if (kind == FleetKind::kPing) {
    Ping ping;
    if (!decodeMembers(payload, ping)) return false;
    step = onPing(nowMs, from, ping);
    return true;
  }
  PingReply reply;
  if (kind != FleetKind::kPingReply || !decodeMembers(payload, reply)) return false;
  step = onReply(nowMs, from, reply);
  return true;
}

}  // namespace myrtleloft
