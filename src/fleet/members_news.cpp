// The news of `Members`: what is taken of it, and what goes out with each message.
#include <utility>

#include "fleet/members.h"

namespace myrtleloft {

namespace {

// Denials are raised one by one: hearsay that jumps further than this beyond what is known is not true.
constexpr std::uint64_t kMostJump = 1024;

}  // namespace

bool Members::takeFrom(double nowMs, const std::string& from, const std::vector<MemberNews>& news) {
  Member* m = table_.find(from);
  if (m == nullptr || !m->linked) return false;
  m->heardAtMs = nowMs;
  m->heard = true;
  for (const MemberNews& n : news) takeNews(nowMs, from, n);
  return true;
}

void Members::takeNews(double nowMs, const std::string& from, MemberNews news) {
  if (news.incarnation.life == 0 || news.incarnation.start == 0 || news.denial > kMostDenial) return;
  if (news.standing < Standing::kAlive || news.standing > Standing::kDead) return;
  if (news.name == own_.name) return takeOwnNews(news);
  Member* m = table_.find(news.name);
  if (m == nullptr) return;
  MemberLife* life = m->find(news.incarnation.life);
  const bool present = m->linked && news.incarnation == m->link;
  if (news.name == from) {
    // Its own word, of itself as it is now, and nothing else of itself.
    if (!present || news.standing != Standing::kAlive) return;
    if (life != nullptr && life->denial > news.denial + kMostJump) *life = {m->link, 0, Standing::kAlive, {}};
    return believe(nowMs, *m, news);
  }
  // Of the start behind the link, the link knows better.
  if (m->linked && news.incarnation.life == m->link.life && !present) return;
  const bool sameStart = life != nullptr && life->incarnation == news.incarnation;
  if (sameStart && news.denial > life->denial + kMostJump) return;
  // Whom we hear ourselves is not dead by hearsay: the suspicion lasts its span here as well.
  if (news.standing == Standing::kDead && present && nowMs - m->heardAtMs <= spanMs()) {
    news.standing = Standing::kSuspect;
  }
  believe(nowMs, *m, news);
}

void Members::believe(double nowMs, Member& member, const MemberNews& news) {
  const auto suspicion = [&]() -> std::pair<Incarnation, std::uint64_t> {
    const MemberLife* life = member.find(news.incarnation.life);
    if (life == nullptr || life->standing != Standing::kSuspect) return {};
    return {life->incarnation, life->denial};
  };
  const auto before = suspicion();
  if (!joinNews(member.lives, news)) return;
  const auto after = suspicion();
  if (after.first.life != 0 && after != before) member.find(news.incarnation.life)->suspectSinceMs = nowMs;
}

// Of ourselves nobody else has a say: what is not so is denied, and by that taken back everywhere.
void Members::takeOwnNews(const MemberNews& news) {
  if (news.incarnation != own_.incarnation || news.denial < denial_ || news.denial >= kMostDenial) return;
  if (news.denial - denial_ > kMostJump) return;
  if (news.standing == Standing::kAlive) {
    denial_ = news.denial;
    return;
  }
  denial_ = news.denial + 1;
  ill(1);
  if (news.standing == Standing::kDead) mustCatchUp();
}

std::vector<MemberNews> Members::newsFor(const std::string& to, const std::string& about) {
  std::vector<MemberNews> news{{own_.name, own_.incarnation, denial_, Standing::kAlive, own_.building}};
  // What is held against it, so that it can deny it.
  if (const Member* m = table_.find(to)) {
    const MemberLife* life = m->present();
    if (life != nullptr && life->standing != Standing::kAlive) news.push_back(MemberTable::newsOf(to, *life));
  }
  if (const Member* m = table_.find(about)) {
    if (const MemberLife* life = m->present()) news.push_back(MemberTable::newsOf(about, *life));
  }
  table_.addNews(news, tuning_.fresh, tuning_.known, tuning_.spreadFactor * doublings());
  return news;
}

void Members::ask(const std::string& to, const std::string& about, const std::string& behalf,
                  std::uint64_t number) {
  const MemberQuestion question{number, about, behalf, newsFor(to, about)};
  step_.sends.push_back({to, FleetKind::kQuestion, encodeMembers(question)});
}

void Members::reply(const std::string& to, std::uint64_t number, bool reached, std::uint32_t heardMsAgo,
                    const std::string& about) {
  const MemberReply reply{number, reached, heardMsAgo, newsFor(to, about)};
  step_.sends.push_back({to, FleetKind::kReply, encodeMembers(reply)});
}

}  // namespace myrtleloft
