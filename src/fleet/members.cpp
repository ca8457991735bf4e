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

double Members::spanMs() const { return tuning_.spanFactor * doublings() * tuning_.periodMs; }

void Members::ill(int by) { health_ = std::clamp(health_ + by, 0, tuning_.mostHealth); }

void Members::mustCatchUp() {
  if (table_.size() == 0) return;
  catchingUp_ = true;
  awakeFrom_ = numbers_ + 1;
}

void Members::wake(double nowMs) {
  ill(1);
  probe_ = {};
  forOthers_.clear();
  for (Member& m : table_.all()) {
    for (MemberLife& life : m.lives) life.suspectSinceMs = nowMs;
  }
  periodAtMs_ = repliedAtMs_ = nowMs;
  mustCatchUp();
}

// What was due before this call, and was not called for, says how late we are ourselves.
void Members::begin(double nowMs) {
  step_ = {};
  if (!std::exchange(begun_, true)) {
    periodAtMs_ = repliedAtMs_ = nowMs;
    return;
  }
  const double lateMs = nowMs - dueMs_;
  if (lateMs > tuning_.stallMs) {
    wake(nowMs);
  } else if (const double unreadMs = tuning_.replyMs / 4; lateMs > unreadMs) {
    probe_.excuse(lateMs + unreadMs);
    forOthers_.excuse(lateMs + unreadMs);
  }
}

Members::Step Members::finish(double nowMs) {
  advance(nowMs);
  for (Member& m : table_.all()) {
    const MemberLife* life = m.present();
    if (life == nullptr) continue;
    if (life->standing == m.toldStanding && life->incarnation == m.toldIncarnation) continue;
    step_.changes.push_back({m.name, life->incarnation, m.toldStanding, life->standing});
    m.toldStanding = life->standing;
    m.toldIncarnation = life->incarnation;
  }
  dueMs_ = std::max(nowMs, std::min({periodAtMs_, probe_.nextMs(), forOthers_.nextMs()}));
  step_.nextMs = dueMs_;
  return std::exchange(step_, {});
}

void Members::advance(double nowMs) {
  while (const auto question = forOthers_.overdue(nowMs)) {
    reply(question->from, question->theirs, false, kNeverHeard, question->about);
  }
  if (catchingUp_) {
    const auto awake = std::count_if(table_.all().begin(), table_.all().end(),
                                     [&](const Member& m) { return m.answered >= awakeFrom_; });
    if (static_cast<std::size_t>(awake) >= majority()) catchingUp_ = false;
  } else if (nowMs - repliedAtMs_ > spanMs()) {
    mustCatchUp();
  }
  if (probe_.phase == MemberProbe::Phase::kDirect && probe_.directByMs <= nowMs) askThirds(nowMs);
  if (probe_.phase == MemberProbe::Phase::kThirds && probe_.endsAtMs <= nowMs) judge(nowMs);
  if (periodAtMs_ <= nowMs && !probe_.running()) startPeriod(nowMs);
  if (probe_.running()) periodAtMs_ = std::max(periodAtMs_, probe_.endsAtMs);
}

Members::Step Members::onTick(double nowMs) {
  begin(nowMs);
  return finish(nowMs);
}

Members::Step Members::setPeers(double nowMs, const std::vector<std::string>& peers) {
  begin(nowMs);
  table_.setPeers(peers);
  if (probe_.running() && table_.find(probe_.about) == nullptr) probe_ = {};
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
  if (m.introduced.size() >= kMostLives) m.introduced.erase(m.introduced.begin());
  m.introduced.push_back(peer.incarnation);
  m.linked = true;
  m.link = peer.incarnation;
  m.heardAtMs = nowMs;
  m.heard = true;
  m.hears = Hears::kNotKnown;
  // Its other lives are over: their folder is lost, or another took the name.
  for (MemberLife& life : m.lives) {
    if (life.incarnation.life == m.link.life || life.standing == Standing::kDead) continue;
    life.standing = Standing::kDead;
    life.sent = 0;
  }
  // A start beyond this one that was only hearsay, of the same life, is not true.
  if (MemberLife* life = m.find(m.link.life); life != nullptr && life->incarnation.start > m.link.start) {
    *life = {m.link, 0, Standing::kAlive, peer.building};
  }
  believe(nowMs, m, {peer.name, peer.incarnation, 0, Standing::kAlive, peer.building});
  // At its next turn it hears what is held against it, and denies it.
  if (m.standing() != Standing::kAlive) round_.first(peer.name);
  if (catchingUp_ && asked_ < tuning_.catchUp) {
    ++asked_;
    ask(peer.name, "", "", ++numbers_);
  }
  return finish(nowMs);
}

Members::Step Members::onLinkDown(double nowMs, const std::string& peer) {
  begin(nowMs);
  if (Member* m = table_.find(peer); m != nullptr && m->linked) {
    m->linked = m->heard = false;
    m->hears = Hears::kNotKnown;
    // No guess yet, but a reason to ask.
    round_.first(peer);
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
    if (const MemberLife* life = m.present()) {
      view.building = life->building;
      view.incarnation = life->incarnation;
      view.denial = life->denial;
      view.standing = life->standing;
    }
  }
  return views;
}

Standing Members::standing(const std::string& name) const {
  const Member* m = table_.find(name);
  return m == nullptr ? Standing::kUnknown : m->standing();
}

}  // namespace myrtleloft
