#include "fleet/member_table.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

const MemberLife* Member::find(std::uint64_t life) const {
  for (const MemberLife& l : lives) {
    if (l.incarnation.life == life) return &l;
  }
  return nullptr;
}

MemberLife* Member::find(std::uint64_t life) {
  return const_cast<MemberLife*>(std::as_const(*this).find(life));
}

const MemberLife* Member::present() const {
  if (linked) {
    if (const MemberLife* life = find(link.life)) return life;
  }
  const MemberLife* best = nullptr;
  for (const MemberLife& l : lives) {
    const auto rank = [](const MemberLife& life) { return std::pair(life.standing, ~life.incarnation.life); };
    if (best == nullptr || rank(l) < rank(*best)) best = &l;
  }
  return best;
}

MemberLife* Member::present() { return const_cast<MemberLife*>(std::as_const(*this).present()); }

Standing Member::standing() const {
  const MemberLife* life = present();
  return life == nullptr ? Standing::kUnknown : life->standing;
}

bool joinNews(std::vector<MemberLife>& lives, const MemberNews& news) {
  const auto at = std::find_if(lives.begin(), lives.end(), [&](const MemberLife& l) {
    return l.incarnation.life == news.incarnation.life;
  });
  if (at == lives.end()) {
    if (lives.size() >= kMostLives) {
      const auto dead = std::find_if(lives.begin(), lives.end(),
                                     [](const MemberLife& l) { return l.standing == Standing::kDead; });
      if (dead == lives.end()) return false;
      lives.erase(dead);
    }
    lives.push_back({news.incarnation, news.denial, news.standing, news.building});
    return true;
  }
  MemberLife& life = *at;
  if (news.incarnation.start != life.incarnation.start) {
    if (news.incarnation.start < life.incarnation.start) return false;
    life = {news.incarnation, news.denial, news.standing, news.building};
    return true;
  }
  bool changed = false;
  if (news.building > life.building) {
    life.building = news.building;
    changed = true;
  }
  if (std::pair(news.denial, news.standing) > std::pair(life.denial, life.standing)) {
    life.denial = news.denial;
    life.standing = news.standing;
    changed = true;
  }
  if (changed) life.sent = 0;
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

MemberNews MemberTable::newsOf(const std::string& name, const MemberLife& life) {
  return {name, life.incarnation, life.denial, life.standing, life.building};
}

void MemberTable::addNews(std::vector<MemberNews>& news, int fresh, int known, int times) {
  const auto add = [&](const Member& m, MemberLife& life) {
    MemberNews one = newsOf(m.name, life);
    if (std::find(news.begin(), news.end(), one) != news.end()) return;
    ++life.sent;
    news.push_back(std::move(one));
  };
  std::vector<std::pair<Member*, MemberLife*>> unspread;
  for (Member& m : members_) {
    for (MemberLife& life : m.lives) {
      if (life.sent < times) unspread.emplace_back(&m, &life);
    }
  }
  const auto end = unspread.begin() + std::min<std::ptrdiff_t>(fresh, std::ssize(unspread));
  std::partial_sort(unspread.begin(), end, unspread.end(),
                    [](const auto& a, const auto& b) { return a.second->sent < b.second->sent; });
  for (auto it = unspread.begin(); it != end; ++it) add(*it->first, *it->second);
  for (std::size_t looked = 0; known > 0 && looked < members_.size(); ++looked) {
    Member& m = members_[turn_++ % members_.size()];
    if (MemberLife* life = m.present()) {
      add(m, *life);
      --known;
    }
  }
}

}  // namespace myrtleloft
