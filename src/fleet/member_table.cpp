#include "fleet/member_table.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

const MemberIncarnation* Member::find(std::uint64_t life) const {
  for (const MemberIncarnation& l : incarnations) {
    if (l.incarnation.life == life) return &l;
  }
  return nullptr;
}

MemberIncarnation* Member::find(std::uint64_t life) {
  return const_cast<MemberIncarnation*>(std::as_const(*this).find(life));
}

const MemberIncarnation* Member::present() const {
  if (linked) {
    if (const MemberIncarnation* record = find(link.life)) return record;
  }
  const MemberIncarnation* best = nullptr;
  for (const MemberIncarnation& l : incarnations) {
    const auto rank = [](const MemberIncarnation& record) {
      return std::pair(record.state, ~record.incarnation.life);
    };
    if (best == nullptr || rank(l) < rank(*best)) best = &l;
  }
  return best;
}

MemberIncarnation* Member::present() {
  return const_cast<MemberIncarnation*>(std::as_const(*this).present());
}

MemberState Member::state() const {
  const MemberIncarnation* record = present();
  return record == nullptr ? MemberState::kUnknown : record->state;
}

bool mergeUpdate(std::vector<MemberIncarnation>& incarnations, const GossipUpdate& update) {
  const auto at = std::find_if(incarnations.begin(), incarnations.end(), [&](const MemberIncarnation& l) {
    return l.incarnation.life == update.incarnation.life;
  });
  if (at == incarnations.end()) {
    if (incarnations.size() >= kMaxIncarnations) {
      const auto dead =
          std::find_if(incarnations.begin(), incarnations.end(),
                       [](const MemberIncarnation& l) { return l.state == MemberState::kDead; });
      if (dead == incarnations.end()) return false;
      incarnations.erase(dead);
    }
    incarnations.push_back({update.incarnation, update.denial, update.state, update.building});
    return true;
  }
  MemberIncarnation& record = *at;
  if (update.incarnation.start != record.incarnation.start) {
    if (update.incarnation.start < record.incarnation.start) return false;
    record = {update.incarnation, update.denial, update.state, update.building};
    return true;
  }
  bool changed = false;
  if (update.building > record.building) {
    record.building = update.building;
    changed = true;
  }
  if (std::pair(update.denial, update.state) > std::pair(record.denial, record.state)) {
    record.denial = update.denial;
    record.state = update.state;
    changed = true;
  }
  if (changed) record.sent = 0;
  return changed;
}

void MemberTable::setPeers(const std::vector<std::string>& names) {
  std::vector<Member> members;
  for (const std::string& name : names) {
    if (Member* known = find(name)) {
      members.push_back(*known);
    } else {
      members.emplace_back().name = name;
    }
  }
  const auto byName = [](const Member& a, const Member& b) { return a.name < b.name; };
  std::sort(members.begin(), members.end(), byName);
  const auto same = [](const Member& a, const Member& b) { return a.name == b.name; };
  members.erase(std::unique(members.begin(), members.end(), same), members.end());
  members_ = std::move(members);
}

const Member* MemberTable::find(std::string_view name) const {
  const auto at = std::lower_bound(members_.begin(), members_.end(), name,
                                   [](const Member& m, std::string_view n) { return m.name < n; });
  return at != members_.end() && at->name == name ? &*at : nullptr;
}

Member* MemberTable::find(std::string_view name) {
  return const_cast<Member*>(std::as_const(*this).find(name));
}

GossipUpdate MemberTable::updateOf(const std::string& name, const MemberIncarnation& record) {
  return {name, record.incarnation, record.denial, record.state, record.building};
}

void MemberTable::addUpdates(std::vector<GossipUpdate>& updates, int fresh, int known, int times) {
  const auto add = [&](const Member& m, MemberIncarnation& record) {
    GossipUpdate one = updateOf(m.name, record);
    if (std::find(updates.begin(), updates.end(), one) != updates.end()) return;
    ++record.sent;
    updates.push_back(std::move(one));
  };
  std::vector<std::pair<Member*, MemberIncarnation*>> unspread;
  for (Member& m : members_) {
    for (MemberIncarnation& record : m.incarnations) {
      if (record.sent < times) unspread.emplace_back(&m, &record);
    }
  }
  const auto end = unspread.begin() + std::min<std::ptrdiff_t>(fresh, std::ssize(unspread));
  std::partial_sort(unspread.begin(), end, unspread.end(),
                    [](const auto& a, const auto& b) { return a.second->sent < b.second->sent; });
  for (auto it = unspread.begin(); it != end; ++it) add(*it->first, *it->second);
  for (std::size_t looked = 0; known > 0 && looked < members_.size(); ++looked) {
    Member& m = members_[turn_++ % members_.size()];
    if (MemberIncarnation* record = m.present()) {
      add(m, *record);
      --known;
    }
  }
}

}  // namespace myrtleloft
