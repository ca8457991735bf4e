// The news of `Members`: what is taken of it, and what goes out with each message.
#include <utility>

#include "fleet/members.h"

namespace myrtleloft {

namespace {

// Denials are raised one by one: hearsay that jumps further than this beyond what is known is not true.
constexpr std::uint64_t kMaxDenialJump = 1024;

}  // namespace

bool Members::applyGossip(double nowMs, const std::string& from, const std::vector<GossipUpdate>& updates) {
  Member* m = table_.find(from);
  if (m == nullptr || !m->linked) return false;
  m->heardAtMs = nowMs;
  m->heard = true;
  for (const GossipUpdate& n : updates) applyUpdate(nowMs, from, n);
  return true;
}

void Members::applyUpdate(double nowMs, const std::string& from, GossipUpdate update) {
  if (update.incarnation.life == 0 || update.incarnation.start == 0 || update.denial > kMaxDenial) return;
  if (update.state < MemberState::kAlive || update.state > MemberState::kDead) return;
  if (update.name == own_.name) return applyUpdateAboutSelf(update);
  Member* m = table_.find(update.name);
  if (m == nullptr) return;
  MemberIncarnation* life = m->find(update.incarnation.life);
  const bool present = m->linked && update.incarnation == m->link;
  if (update.name == from) {
    // Its own word, of itself as it is now, and nothing else of itself.
    if (!present || update.state != MemberState::kAlive) return;
    if (life != nullptr && life->denial > update.denial + kMaxDenialJump)
      *life = {m->link, 0, MemberState::kAlive, {}};
    return merge(nowMs, *m, update);
  }
  // Of the start behind the link, the link knows better.
  if (m->linked && update.incarnation.life == m->link.life && !present) return;
  const bool sameStart = life != nullptr && life->incarnation == update.incarnation;
  if (sameStart && update.denial > life->denial + kMaxDenialJump) return;
  // Whom we hear ourselves is not dead by hearsay: the suspicion lasts its span here as well.
  if (update.state == MemberState::kDead && present && nowMs - m->heardAtMs <= suspicionTimeoutMs()) {
    update.state = MemberState::kSuspect;
  }
  merge(nowMs, *m, update);
}

void Members::merge(double nowMs, Member& member, const GossipUpdate& update) {
  const auto suspicion = [&]() -> std::pair<Incarnation, std::uint64_t> {
    const MemberIncarnation* life = member.find(update.incarnation.life);
    if (life == nullptr || life->state != MemberState::kSuspect) return {};
    return {life->incarnation, life->denial};
  };
  const auto before = suspicion();
  if (!mergeUpdate(member.incarnations, update)) return;
  const auto after = suspicion();
  if (after.first.life != 0 && after != before) member.find(update.incarnation.life)->suspectSinceMs = nowMs;
}

// Of ourselves nobody else has a say: what is not so is denied, and by that taken back everywhere.
void Members::applyUpdateAboutSelf(const GossipUpdate& update) {
  if (update.incarnation != own_.incarnation || update.denial < denial_ || update.denial >= kMaxDenial)
    return;
  if (update.denial - denial_ > kMaxDenialJump) return;
  if (update.state == MemberState::kAlive) {
    denial_ = update.denial;
    return;
  }
  denial_ = update.denial + 1;
  adjustHealth(1);
  if (update.state == MemberState::kDead) startCatchingUp();
}

std::vector<GossipUpdate> Members::updatesFor(const std::string& to, const std::string& target) {
  std::vector<GossipUpdate> updates{
      {own_.name, own_.incarnation, denial_, MemberState::kAlive, own_.building}};
  // What is held against it, so that it can deny it.
  if (const Member* m = table_.find(to)) {
    const MemberIncarnation* life = m->present();
    if (life != nullptr && life->state != MemberState::kAlive)
      updates.push_back(MemberTable::updateOf(to, *life));
  }
  if (const Member* m = table_.find(target)) {
    if (const MemberIncarnation* life = m->present()) updates.push_back(MemberTable::updateOf(target, *life));
  }
  table_.addUpdates(updates, tuning_.fresh, tuning_.known, tuning_.spreadFactor * doublings());
  return updates;
}

void Members::sendPing(const std::string& to, const std::string& target, const std::string& onBehalfOf,
                       std::uint64_t number) {
  const Ping ping{number, target, onBehalfOf, updatesFor(to, target)};
  step_.sends.push_back({to, FleetKind::kPing, encodeMembers(ping)});
}

void Members::sendReply(const std::string& to, std::uint64_t number, bool reached, std::uint32_t heardMsAgo,
                        const std::string& target) {
  const PingReply reply{number, reached, heardMsAgo, updatesFor(to, target)};
  step_.sends.push_back({to, FleetKind::kPingReply, encodeMembers(reply)});
}

}  // namespace myrtleloft
