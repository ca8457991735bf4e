// The CASPaxos acceptor (Rystsov, 2018) of one relay for the configuration registers of all ledgers. It also
// prevents a relay that lost its state folder from contradicting its earlier responses. No I/O.
//
//   Acceptor acceptor({"n1", life, {"n2", "n3"}}, stored, step);
//   acceptor.onTick(nowMs, step);                 // sends join requests until the acceptor is active
//   if (auto response = acceptor.onRequest("n2", request, step)) ...   // send it after `step.stores` are
//   durable acceptor.onResponse("n2", response, step);    // for responses of phase kJoin
//
// An acceptor with an empty state folder is inactive. It announces its new folder generation to the other
// relays, which store it before they respond, and copies the registers of `joinQuorumSize` active acceptors.
// Each quorum that the old generation belonged to has another member among these. If that member had already
// responded to the proposer, its response is copied. If it responds later, it reports that the old generation
// is superseded, and the proposer discards the old generation's response (proposer.h). Both halves are
// necessary; compare Michael, Ports, Sharma and Szekeres, 'Recovering Shared Objects Without Stable Storage'
// (2017).
//
// The first acceptors of a fleet become active when every relay, with empty registers, reports that it knows
// the current generation of all relays: then no older folder exists that could have responded to a proposer.
//
// Memory is proportional to the number of registers, some 200 bytes each. A request costs O(log registers), a
// join request O(kMessageBytes).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "copies/messages.h"
#include "copies/step.h"

namespace myrtleloft {

class Acceptor {
 public:
  struct Self {
    std::string name;
    std::uint64_t life = 0;
    std::vector<std::string> others;  // all other relays of the fleet
  };
  struct ConfigRegister {
    Ballot promised, accepted;
    LedgerState value;
  };
  static constexpr double kRetryMs = 200;

  // `stored`: the entries that this class has written through `stores`; none if the state folder is new.
  Acceptor(Self self, const StoredEntries& stored, ReplicationStep& out);

  // Whether this acceptor responds to prepare and accept requests.
  bool isActive() const { return active_; }
  void onTick(double nowMs, ReplicationStep& out);
  // Returns std::nullopt if the acceptor must not respond.
  std::optional<AcceptorResponse> onRequest(const std::string& from, const AcceptorRequest& request,
                                            ReplicationStep& out);
  void onResponse(const std::string& from, const AcceptorResponse& response, ReplicationStep& out);
  // The values that this acceptor last accepted, which are not necessarily decided.
  const std::map<LedgerId, ConfigRegister>& registers() const { return registers_; }
  // The number of active acceptors whose registers a joining acceptor must copy.
  std::size_t joinQuorumSize() const;
  template <typename Archive>
  void fingerprint(Archive& ar) const;

 private:
  FolderGeneration generation() const { return {ordinal_, self_.life}; }
  std::vector<KnownGeneration> known() const;
  void learnGeneration(const std::vector<KnownGeneration>& known, ReplicationStep& out);
  void learnGeneration(const KnownGeneration& reported, ReplicationStep& out);
  void storeRegister(const LedgerId& id, ReplicationStep& out);
  void storeSelf(ReplicationStep& out);
  void activateIfReady(ReplicationStep& out);
  AcceptorResponse onJoin(const std::string& from, const AcceptorRequest& request, ReplicationStep& out);
  void sendJoinRequest(const std::string& to, ReplicationStep& out);

  Self self_;
  bool active_ = false;
  std::uint64_t ordinal_ = 1;
  std::map<std::string, FolderGeneration> known_;  // generations of the other relays
  std::map<LedgerId, ConfigRegister> registers_;
  // State while joining:
  struct Source {
    LedgerId after;
    bool done = false;
  };
  std::map<std::string, Source> sources_;
  std::map<std::string, std::vector<KnownGeneration>>
      emptyPeers_;  // generations known to the others while their registers were empty
  double lastJoinRequestMs_ = -kRetryMs;
};

template <typename Archive>
void Acceptor::fingerprint(Archive& ar) const {
  ar(active_, ordinal_, known_.size(), registers_.size());
  for (const auto& [name, generation] : known_) ar(name, generation.ordinal, generation.life);
  for (const auto& [id, configRegister] : registers_)
    ar(id, configRegister.promised, configRegister.accepted, configRegister.value);
}

}  // namespace myrtleloft
