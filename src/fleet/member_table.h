// What is believed of each peer, and how news changes it.
//
// Within one life, news is ordered by (start, denial, standing): the higher one stands, whatever the order in
// which they come in. Lives have no order among themselves, for they are random; each is believed for itself.
// Which of them is the present one: that of the link that is up; without a link, one that is not dead.
//
// `mergeUpdate` is the whole merge: idempotent, commutative and associative, up to `kMaxIncarnations` lives
// of a name.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/member_messages.h"

namespace myrtleloft {

// One life of one peer.
struct MemberIncarnation {
  Incarnation incarnation;
  std::uint64_t denial = 0;
  MemberState state = MemberState::kUnknown;
  std::string building;
  double suspectSinceMs = 0;  // where it is suspect: since when here
  int sent = 0;               // how often this was spread from here
};

// Whether the peer hears us, by its own word or by a third's.
enum class Hears : std::uint8_t { kNotKnown, kNo, kYes };

struct Member {
  std::string name;
  std::vector<MemberIncarnation> incarnations;
  bool linked = false;
  Incarnation link;                     // while linked
  std::vector<Incarnation> introduced;  // the newest start of each life that introduced itself here
  double heardAtMs = -std::numeric_limits<double>::infinity();
  bool heard = false;  // false as well: the last question to it was not answered by itself
  Hears hears = Hears::kNotKnown;
  std::string via;             // the third that reached it last time; empty: none had to, or it failed since
  std::uint64_t answered = 0;  // the highest number of ours that it replied to
  double pingedAtMs = -std::numeric_limits<double>::infinity();
  // As last told to the caller.
  MemberState reportedState = MemberState::kUnknown;
  Incarnation reportedIncarnation;

  const MemberIncarnation* find(std::uint64_t life) const;
  MemberIncarnation* find(std::uint64_t life);
  // nullptr: nothing is known of it.
  const MemberIncarnation* present() const;
  MemberIncarnation* present();
  MemberState state() const;
};

// A folder is lost rarely; of a name with more lives than this, dead ones are forgotten first.
inline constexpr std::size_t kMaxIncarnations = 4;

// Whether it changed anything.
bool mergeUpdate(std::vector<MemberIncarnation>& incarnations, const GossipUpdate& update);

class MemberTable {
 public:
  // Those that stay keep what is known of them.
  void setPeers(const std::vector<std::string>& names);
  Member* find(std::string_view name);
  const Member* find(std::string_view name) const;
  std::vector<Member>& all() { return members_; }
  const std::vector<Member>& all() const { return members_; }
  std::size_t size() const { return members_.size(); }

  // News for one message: what was spread fewer than `times` times, fewest first, `fresh` at most; and
  // `known` of the rest in turn, so that what was lost is made up for in the end. Counted as spread.
  void addUpdates(std::vector<GossipUpdate>& updates, int fresh, int known, int times);
  static GossipUpdate updateOf(const std::string& name, const MemberIncarnation& life);

 private:
  std::vector<Member> members_;  // by name
  std::size_t turn_ = 0;
};

}  // namespace myrtleloft
