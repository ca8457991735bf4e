// Gossip updates of `Members`: how received ones are applied, and which ones are sent.
#include <utility>

#include "fleet/members.h"

namespace myrtleloft {

namespace {

// A denial is raised in steps of one; gossip that exceeds the known value by more than this is false.
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
  MemberIncarnation* record = m->find(update.incarnation.life);
  const bool present = m->linked && update.incarnation == m->link;
  if (update.name == from) {
    // A relay may only report its current incarnation, as alive.
    if (!present || update.state != MemberState::kAlive) return;
    if (record != nullptr && record->denial > update.denial + kMaxDenialJump)
      *record = {m->link, 0, MemberState::kAlive, {}};
    return merge(nowMs, *m, update);
  }
  // The link determines the run of the peer; gossip about other runs is ignored.
  if (m->linked && update.incarnation.life == m->link.life && !present) return;
  const bool sameStart = record != nullptr && record->incarnation == update.incarnation;
  if (sameStart && update.denial > record->denial + kMaxDenialJump) return;
  // A peer that we receive messages from is not dead by gossip: it is suspect here for the whole timeout too.
  if (update.state == MemberState::kDead && present && nowMs - m->heardAtMs <= suspicionTimeoutMs()) {
    update.state = MemberState::kSuspect;
  }
  merge(nowMs, *m, update);
}

void Members::merge(double nowMs, Member& member, const GossipUpdate& update) {
  const auto suspicion = [&]() -> std::pair<Incarnation, std::uint64_t> {
    const MemberIncarnation* record = member.find(update.incarnation.life);
    if (record == nullptr || record->state != MemberState::kSuspect) return {};
    return {record->incarnation, record->denial};
  };
  const auto before = suspicion();
  if (!mergeUpdate(member.incarnations, update)) return;
  const auto after = suspicion();
  if (after.first.life != 0 && after != before) member.find(update.incarnation.life)->suspectSinceMs = nowMs;
}

// Only this relay decides its own state. It refutes a false one with a higher denial, which overrides it at
// all relays.
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
  // Informs the receiver of its suspected or dead state, so that it can refute it.
  if (const Member* m = table_.find(to)) {
    const MemberIncarnation* record = m->present();
    if (record != nullptr && record->state != MemberState::kAlive)
      updates.push_back(MemberTable::updateOf(to, *record));
  }
  if (const Member* m = table_.find(target)) {
    if (const MemberIncarnation* record = m->present())
      updates.push_back(MemberTable::updateOf(target, *record));
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
