// State of each peer, and how gossip updates change it.
//
// Within one `life`, updates are ordered by (start, denial, state) and the highest wins, whatever the order
// of arrival. Lives have no order among themselves, as they are random; each is tracked separately. The
// current one is that of the established link or, without a link, one that is not dead.
//
// `mergeUpdate` is the whole merge. It is idempotent, commutative and associative for up to
// `kMaxIncarnations` lives of a name.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/member_messages.h"

namespace myrtleloft {

// State of one `life` of a peer, with its latest run.
struct MemberIncarnation {
  Incarnation incarnation;
  std::uint64_t denial = 0;
  MemberState state = MemberState::kUnknown;
  std::string building;
  double suspectSinceMs = 0;  // time at which it became suspect here
  int sent = 0;               // how often this state was sent
};

// Whether the peer receives our messages, by its own reply or by that of a helper.
enum class Hears : std::uint8_t { kNotKnown, kNo, kYes };

struct Member {
  std::string name;
  std::vector<MemberIncarnation> incarnations;
  bool linked = false;
  Incarnation link;                     // valid while linked
  std::vector<Incarnation> introduced;  // latest run of each life that introduced itself here
  double heardAtMs = -std::numeric_limits<double>::infinity();
  bool heard = false;  // also false if the peer itself did not answer the last probe
  Hears hears = Hears::kNotKnown;
  std::string via;  // helper that reached it in the last probe; empty if none was needed or it failed since
  std::uint64_t answered = 0;  // highest number of our pings that it answered
  double pingedAtMs = -std::numeric_limits<double>::infinity();
  // As last reported to the caller.
  MemberState reportedState = MemberState::kUnknown;
  Incarnation reportedIncarnation;

  const MemberIncarnation* find(std::uint64_t life) const;
  MemberIncarnation* find(std::uint64_t life);
  // Returns the current life, or nullptr if nothing is known of the peer.
  const MemberIncarnation* present() const;
  MemberIncarnation* present();
  MemberState state() const;
};

// State folders are rarely lost. Beyond this number of lives of a name, dead ones are dropped first.
inline constexpr std::size_t kMaxIncarnations = 4;

// Returns whether the update changed anything.
bool mergeUpdate(std::vector<MemberIncarnation>& incarnations, const GossipUpdate& update);

class MemberTable {
 public:
  // Peers that remain in the list keep their state.
  void setPeers(const std::vector<std::string>& names);
  Member* find(std::string_view name);
  const Member* find(std::string_view name) const;
  std::vector<Member>& all() { return members_; }
  const std::vector<Member>& all() const { return members_; }
  std::size_t size() const { return members_.size(); }

  // Adds updates for one message and counts them as sent: up to `fresh` that were sent fewer than `times`
  // times, least sent first, and `known` others in rotation, so that lost updates are eventually sent again.
  void addUpdates(std::vector<GossipUpdate>& updates, int fresh, int known, int times);
  static GossipUpdate updateOf(const std::string& name, const MemberIncarnation& life);

 private:
  std::vector<Member> members_;  // sorted by name
  std::size_t turn_ = 0;
};

}  // namespace myrtleloft
