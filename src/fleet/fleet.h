// A relay's part in its fleet: owns the links to the others and the members (who of them is there), and
// drives both on the loop. Only where the operator's file has a section [fleet].
//
//   Fleet fleet({loop, files, journal, log}, options);
//   if (!fleet.start(error)) ...         // once the state folder is held
//   fleet.setPeers(peers);               // after SIGHUP
//   fleet.print(out);                    // the line "counters fleet: ..."
//
// A process that stood still (SIGSTOP, a stolen core) may have missed that it was called dead and that others
// act for it. Whatever wakes it, the members are told before anything else is made of it; `isCatchingUp`
// tells them too, for those whom the loop wakes earlier.
//
// One thread; handlers never wait, `start` waits for the disk once.
#pragma once

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "audit/audit_driver.h"
#include "fleet/incarnation.h"
#include "fleet/links.h"
#include "fleet/members.h"
#include "fleet/plan.h"
#include "journal/disk_budget.h"
#include "journal/files.h"
#include "log/log.h"
#include "net/loop.h"

namespace myrtleloft {

class Fleet : private PeerSink {
 public:
  struct Parts {
    Loop& loop;
    Files& files;
    DiskBudget& disk;
    Log log;
    AuditedRules rules;  // for the audit, where the section asks for one
  };
  struct Options {
    FleetPlan plan;
    std::string name, building, folder;
    std::size_t memoryBytes = 0;  // the relay's, of which the queues have a part
    std::uint64_t seed = 1;       // random, not 0
    LinkTuning tuning;
    MembersTuning members;
  };

  Fleet(const Parts& parts, Options options) : parts_(parts), options_(std::move(options)) {}
  ~Fleet() override { parts_.loop.cancel(timer_); }

  // false: `error` says why.
  bool start(std::string& error);
  std::string listening() const { return links_ ? links_->listening() : ""; }
  void setPeers(const std::vector<FleetPlan::Peer>& peers);
  // Whether onBatch wants what the module is told, before it decides.
  bool watchesBatches() const { return audit_.has_value(); }
  void onBatch(double nowMs, const std::vector<Event>& events) { audit_->onBatch(nowMs, events); }
  void print(std::ostream& out) const;
  // Whether this relay must hear of more than half of its fleet before it acts on what it owes; see Members.
  bool isCatchingUp();

 private:
  void onPeerUp(const PeerIntroduction& peer) override;
  void onPeerDown(const std::string& peer) override;
  bool onPeerMessage(const std::string& peer, FleetKind kind, std::string_view payload) override;
  void onPeerWritable(const std::string& peer) override;

  void storeIncarnation();
  // First of all in each handler.
  void checkForStall();
  // Sends what the members say, tells what has changed, and comes back at their next moment.
  void applyStep(Members::Step step);
  void logChange(const MemberChange& change) const;
  double nowMs() const { return parts_.loop.nowMs(); }

  Parts parts_;
  Options options_;
  Incarnation incarnation_;
  std::optional<Links> links_;
  std::optional<AuditDriver> audit_;
  std::optional<Members> members_;
  Loop::Timer timer_ = Loop::kNoTimer;
  double dueMs_ = 0;                 // when the members are to be called again
  bool reportedCatchingUp_ = false;  // as last told
  std::uint64_t stalls_ = 0;
};

}  // namespace myrtleloft
