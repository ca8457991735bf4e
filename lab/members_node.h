// A process of the drawn fleet that has nothing but its membership, and tells what becomes known to it.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "fleet/members.h"
#include "lab/drawn_fleet.h"

namespace myrtleloft::lab {

class MembersNode : public FleetNode {
 public:
  using Told = std::function<void(const MembersNode& by, const MemberChange& change)>;

  MembersNode(FleetPort& port, const MembersTuning& tuning, Told told)
      : port_(port), told_(std::move(told)), members_(tuning, port.self(), port.peers(), port.seed()) {
    nextMs_ = port.nowMs();
  }
  void onTimer() override { take(members_.onTick(port_.nowMs())); }
  double nextMs() const override { return nextMs_; }
  void onPeerUp(const PeerIntroduction& peer) override { take(members_.onLinkUp(port_.nowMs(), peer)); }
  void onPeerDown(const std::string& peer) override { take(members_.onLinkDown(port_.nowMs(), peer)); }
  bool onPeerMessage(const std::string& peer, FleetKind kind, std::string_view payload) override {
    Members::Step step;
    if (!members_.onMessage(port_.nowMs(), peer, kind, payload, step)) return false;
    take(std::move(step));
    return true;
  }
  void onPeerWritable(const std::string&) override {}
  const Members& members() const { return members_; }
  const PeerIntroduction& self() const { return port_.self(); }
  double nowMs() const { return port_.nowMs(); }

 private:
  void take(Members::Step step) {
    nextMs_ = step.nextMs;
    for (MemberSend& send : step.sends) port_.send(send.to, send.kind, std::move(send.payload));
    if (!told_) return;
    for (const MemberChange& change : step.changes) told_(*this, change);
  }

  FleetPort& port_;
  Told told_;
  Members members_;
  double nextMs_ = 0;
};

}  // namespace myrtleloft::lab
