// The merge of news and its laws, and the messages as bytes.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/member_messages.h"
#include "fleet/member_table.h"

using namespace myrtleloft;

namespace rc {

// Few values, so that the same ones meet.
template <>
struct Arbitrary<MemberNews> {
  static Gen<MemberNews> arbitrary() {
    return gen::map(gen::tuple(gen::inRange(1, 4), gen::inRange(1, 4), gen::inRange(0, 4), gen::inRange(1, 4),
                               gen::inRange(0, 3)),
                    [](const std::tuple<int, int, int, int, int>& t) {
                      MemberNews n;
                      n.name = "n1";
                      n.incarnation = {static_cast<std::uint64_t>(std::get<0>(t)),
                                       static_cast<std::uint64_t>(std::get<1>(t))};
                      n.denial = static_cast<std::uint64_t>(std::get<2>(t));
                      n.standing = static_cast<Standing>(std::get<3>(t));
                      n.building = std::string(static_cast<std::size_t>(std::get<4>(t)), 'b');
                      return n;
                    });
  }
};

}  // namespace rc

namespace {

// What is believed, whatever the order in which it came in.
std::vector<MemberNews> believed(const std::vector<MemberNews>& all) {
  std::vector<MemberLife> lives;
  for (const MemberNews& n : all) joinNews(lives, n);
  std::vector<MemberNews> news;
  for (const MemberLife& l : lives) news.push_back(MemberTable::newsOf("n1", l));
  std::sort(news.begin(), news.end(),
            [](const MemberNews& a, const MemberNews& b) { return a.incarnation.life < b.incarnation.life; });
  return news;
}

auto rank(const MemberNews& n) { return std::tuple(n.incarnation.start, n.denial, n.standing); }

template <typename Law>
void holds(const char* what, const Law& law) {
  CAPTURE(what);
  CHECK(rc::check(what, law));
}

}  // namespace

TEST_CASE("the merge of news is a join") {
  using All = std::vector<MemberNews>;
  holds("in any order", [](const All& all) {
    All other = *rc::gen::exec([&] {
      All left = all, drawn;
      while (!left.empty()) {
        const auto at = *rc::gen::inRange<std::size_t>(0, left.size());
        drawn.push_back(left[at]);
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(at));
      }
      return drawn;
    });
    RC_ASSERT(believed(all) == believed(other));
  });
  holds("repeated", [](const All& all) {
    All twice = all;
    twice.insert(twice.end(), all.begin(), all.end());
    RC_ASSERT(believed(all) == believed(twice));
  });
  holds("of parts", [](const All& some, const All& more) {
    All whole = some, parts = believed(some), late = believed(more);
    whole.insert(whole.end(), more.begin(), more.end());
    parts.insert(parts.end(), late.begin(), late.end());
    RC_ASSERT(believed(whole) == believed(parts));
  });
  holds("the highest of each life stands", [](const All& all) {
    for (const MemberNews& b : believed(all)) {
      for (const MemberNews& n : all) {
        if (n.incarnation.life == b.incarnation.life) RC_ASSERT(rank(n) <= rank(b));
      }
      RC_ASSERT(std::any_of(all.begin(), all.end(), [&](const MemberNews& n) { return rank(n) == rank(b); }));
    }
  });
}

TEST_CASE("lives beyond the bound push out dead ones alone") {
  std::vector<MemberLife> lives;
  for (std::uint64_t life = 1; life <= kMostLives; ++life) {
    CHECK(joinNews(lives, {"n1", {life, 1}, 0, life == 2 ? Standing::kDead : Standing::kAlive, ""}));
  }
  CHECK(joinNews(lives, {"n1", {9, 1}, 0, Standing::kSuspect, ""}));
  CHECK(!joinNews(lives, {"n1", {10, 1}, 0, Standing::kAlive, ""}));
  CHECK(lives.size() == kMostLives);
  CHECK(
      std::none_of(lives.begin(), lives.end(), [](const MemberLife& l) { return l.incarnation.life == 2; }));
}

TEST_CASE("messages come out as they went in, and nothing else is one") {
  holds("as they went in", [](const std::vector<MemberNews>& all, bool reached, std::uint32_t ago) {
    auto news = all;
    if (news.size() > kMostMemberNews) news.resize(kMostMemberNews);
    MemberQuestion question, q{1, "n2", "n3", news};
    MemberReply reply, r{7, reached, ago, news};
    RC_ASSERT(decodeMembers(encodeMembers(q), question));
    RC_ASSERT(question.number == 1u && question.about == "n2" && question.behalf == "n3");
    RC_ASSERT(question.news == news);
    RC_ASSERT(decodeMembers(encodeMembers(r), reply));
    RC_ASSERT(reply.number == 7u && reply.reached == reached && reply.heardMsAgo == ago &&
              reply.news == news);
  });
  holds("torn, or with more behind", [](MemberNews news) {
    const std::string whole = encodeMembers(MemberQuestion{1, "", "", {news}});
    MemberQuestion question{5, "kept", "", {}};
    const auto size = *rc::gen::inRange<std::size_t>(0, whole.size());
    RC_ASSERT(!decodeMembers(std::string_view(whole).substr(0, size), question));
    RC_ASSERT(!decodeMembers(whole + "x", question));
    RC_ASSERT(question.number == 5u && question.about == "kept");
  });
  holds("any bytes", [](const std::string& bytes) {
    MemberReply reply;
    if (decodeMembers(bytes, reply)) RC_ASSERT(encodeMembers(reply) == bytes);
  });
  const MemberNews good{"n1", {1, 1}, 0, Standing::kAlive, ""};
  MemberQuestion out;
  const auto takes = [&](auto spoil) {
    MemberNews n = good;
    spoil(n);
    return decodeMembers(encodeMembers(MemberQuestion{1, "", "", {n}}), out);
  };
  CHECK(takes([](MemberNews&) {}));
  CHECK(!takes([](MemberNews& n) { n.name.clear(); }));
  CHECK(!takes([](MemberNews& n) { n.name.assign(kMostMemberName + 1, 'n'); }));
  CHECK(!takes([](MemberNews& n) { n.building.assign(kMostMemberName + 1, 'b'); }));
  CHECK(!takes([](MemberNews& n) { n.incarnation.life = 0; }));
  CHECK(!takes([](MemberNews& n) { n.incarnation.start = 0; }));
  CHECK(!takes([](MemberNews& n) { n.denial = kMostDenial + 1; }));
  CHECK(!takes([](MemberNews& n) { n.standing = Standing::kUnknown; }));
  CHECK(!takes([](MemberNews& n) { n.standing = static_cast<Standing>(4); }));
  CHECK(!decodeMembers(encodeMembers(MemberQuestion{0, "", "", {}}), out));
  CHECK(
      !decodeMembers(encodeMembers(MemberQuestion{1, "", "", std::vector(kMostMemberNews + 1, good)}), out));
}
