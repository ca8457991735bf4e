#include "fleet/members.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

Members::Members(const MembersTuning& tuning, PeerIntroduction own, const std::vector<std::string>& peers,
                 std::uint64_t seed)
    : tuning_(tuning), own_(std::move(own)), round_(seed) {
  table_.setPeers(peers);
  catchingUp_ = majority() > 0 && table_.size() > 0;
}

int Members::doublings() const {
  int doublings = 1;
  while ((std::size_t{1} << doublings) < table_.size() + 2) ++doublings;
  return doublings;
}

double Members::suspicionTimeoutMs() const { return tuning_.spanFactor * doublings() * tuning_.periodMs; }

void Members::adjustHealth(int by) { health_ = std::clamp(health_ + by, 0, tuning_.maxHealth); }

void Members::startCatchingUp() {
  if (table_.size() == 0) return;
  catchingUp_ = true;
  firstFreshNumber_ = lastNumber_ + 1;
}

void Members::onStall(double nowMs) {
  adjustHealth(1);
  probe_ = {};
  indirectPings_.clear();
  for (Member& m : table_.all()) {
    for (MemberIncarnation& record : m.incarnations) record.suspectSinceMs = nowMs;
  }
  periodAtMs_ = repliedAtMs_ = nowMs;
  startCatchingUp();
}

// Measures how late this call is, and so whether this process stalled.
void Members::begin(double nowMs) {
  step_ = {};
  if (!std::exchange(begun_, true)) {
    periodAtMs_ = repliedAtMs_ = nowMs;
    return;
  }
  const double lateMs = nowMs - dueMs_;
  if (lateMs > tuning_.stallMs) {
    onStall(nowMs);
  } else if (const double unreadMs = tuning_.replyMs / 4; lateMs > unreadMs) {
    probe_.extend(lateMs + unreadMs);
    indirectPings_.extend(lateMs + unreadMs);
  }
}

Members::Step Members::finish(double nowMs) {
  advance(nowMs);
  for (Member& m : table_.all()) {
    const MemberIncarnation* record = m.present();
    if (record == nullptr) continue;
    if (record->state == m.reportedState && record->incarnation == m.reportedIncarnation) continue;
    step_.changes.push_back({m.name, record->incarnation, m.reportedState, record->state});
    m.reportedState = record->state;
    m.reportedIncarnation = record->incarnation;
  }
  dueMs_ = std::max(nowMs, std::min({periodAtMs_, probe_.nextMs(), indirectPings_.nextMs()}));
  step_.nextMs = dueMs_;
  return std::exchange(step_, {});
}

void Members::advance(double nowMs) {
  while (const auto ping = indirectPings_.overdue(nowMs)) {
    sendReply(ping->from, ping->senderNumber, false, kNeverHeard, ping->target);
  }
  if (catchingUp_) {
    const auto awake = std::count_if(table_.all().begin(), table_.all().end(),
                                     [&](const Member& m) { return m.answered >= firstFreshNumber_; });
    if (static_cast<std::size_t>(awake) >= majority()) catchingUp_ = false;
  } else if (nowMs - repliedAtMs_ > suspicionTimeoutMs()) {
    startCatchingUp();
  }
  if (probe_.phase == MemberProbe::Phase::kDirect && probe_.directDeadlineMs <= nowMs) pingIndirectly(nowMs);
  if (probe_.phase == MemberProbe::Phase::kIndirect && probe_.deadlineMs <= nowMs) evaluateProbe(nowMs);
  if (periodAtMs_ <= nowMs && !probe_.running()) startPeriod(nowMs);
  if (probe_.running()) periodAtMs_ = std::max(periodAtMs_, probe_.deadlineMs);
}

Members::Step Members::onTick(double nowMs) {
  begin(nowMs);
  return finish(nowMs);
}

Members::Step Members::setPeers(double nowMs, const std::vector<std::string>& peers) {
  begin(nowMs);
  table_.setPeers(peers);
  if (probe_.running() && table_.find(probe_.target) == nullptr) probe_ = {};
  if (table_.size() == 0) catchingUp_ = false;
  return finish(nowMs);
}

bool Members::refuses(const PeerIntroduction& peer) const {
  const Member* m = table_.find(peer.name);
  if (m == nullptr || peer.incarnation.life == 0 || peer.incarnation.start == 0) return true;
  return std::any_of(m->introduced.begin(), m->introduced.end(), [&](const Incarnation& before) {
    return before.life == peer.incarnation.life && before.start > peer.incarnation.start;
  });
}

Members::Step Members::onLinkUp(double nowMs, const PeerIntroduction& peer) {
  begin(nowMs);
  if (refuses(peer)) return finish(nowMs);
  Member& m = *table_.find(peer.name);
  std::erase_if(m.introduced, [&](const Incarnation& i) { return i.life == peer.incarnation.life; });
  if (m.introduced.size() >= kMaxIncarnations) m.introduced.erase(m.introduced.begin());
  m.introduced.push_back(peer.incarnation);
  m.linked = true;
  m.link = peer.incarnation;
  m.heardAtMs = nowMs;
  m.heard = true;
  m.hears = Hears::kNotKnown;
  // An introduction ends all other lives of the name: their folder was lost, or another relay took the name.
  for (MemberIncarnation& record : m.incarnations) {
    if (record.incarnation.life == m.link.life || record.state == MemberState::kDead) continue;
    record.state = MemberState::kDead;
    record.sent = 0;
  }
  // A later run of this life is known from gossip only, so it is false.
  if (MemberIncarnation* record = m.find(m.link.life);
      record != nullptr && record->incarnation.start > m.link.start) {
    *record = {m.link, 0, MemberState::kAlive, peer.building};
  }
  merge(nowMs, m, {peer.name, peer.incarnation, 0, MemberState::kAlive, peer.building});
  // Pinging it soon lets it learn of the suspicion and refute it.
  if (m.state() != MemberState::kAlive) round_.prioritize(peer.name);
  if (catchingUp_ && catchUpPings_ < tuning_.catchUp) {
    ++catchUpPings_;
    sendPing(peer.name, "", "", ++lastNumber_);
  }
  return finish(nowMs);
}

Members::Step Members::onLinkDown(double nowMs, const std::string& peer) {
  begin(nowMs);
  if (Member* m = table_.find(peer); m != nullptr && m->linked) {
    m->linked = m->heard = false;
    m->hears = Hears::kNotKnown;
    // A lost link alone does not make the peer suspect, but it is probed early.
    round_.prioritize(peer);
  }
  return finish(nowMs);
}

std::vector<MemberView> Members::all() const {
  std::vector<MemberView> views;
  for (const Member& m : table_.all()) {
    MemberView& view = views.emplace_back();
    view.name = m.name;
    view.linked = m.linked;
    view.heard = m.heard;
    view.hears = m.hears;
    if (const MemberIncarnation* record = m.present()) {
      view.building = record->building;
      view.incarnation = record->incarnation;
      view.denial = record->denial;
      view.state = record->state;
    }
  }
  return views;
}

MemberState Members::state(const std::string& name) const {
  const Member* m = table_.find(name);
  return m == nullptr ? MemberState::kUnknown : m->state();
}

}  // namespace myrtleloft
