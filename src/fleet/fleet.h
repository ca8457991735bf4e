// Membership of this relay in its fleet: owns the links to the other relays and the member list, and runs
// both on the event loop. Created only if the operator's file has a section [fleet].
//
//   Fleet fleet({loop, files, journal, log}, options);
//   if (!fleet.start(error)) ...         // after the state folder is locked
//   fleet.setPeers(peers);               // after SIGHUP
//   fleet.print(out);                    // writes the line "counters fleet: ..."
//
// A process that did not run for a while (SIGSTOP, no CPU time) may have been declared dead meanwhile, so
// that others act in its place. Each handler therefore reports the stall to the members before it does
// anything else; `isCatchingUp` does so too, for callers that the loop runs earlier.
//
// Single-threaded. Handlers never block; `start` waits for the disk once.
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
    AuditedRules rules;  // for the audit, if it is enabled
  };
  struct Options {
    FleetPlan plan;
    std::string name, building, folder;
    std::size_t memoryBytes = 0;  // memory limit of the relay, of which the queues have a part
    std::uint64_t seed = 1;       // random and not 0
    LinkTuning tuning;
    MembersTuning members;
  };

  Fleet(const Parts& parts, Options options) : parts_(parts), options_(std::move(options)) {}
  ~Fleet() override { parts_.loop.cancel(timer_); }

  // Returns false and sets `error` on failure.
  bool start(std::string& error, int& errorNumber);
  std::string listening() const { return links_ ? links_->listening() : ""; }
  void setPeers(const std::vector<FleetPlan::Peer>& peers);
  // Whether onBatch must be called with the events before the module decides.
  bool watchesBatches() const { return audit_.has_value(); }
  void onBatch(double nowMs, const std::vector<Event>& events) { audit_->onBatch(nowMs, events); }
  void print(std::ostream& out) const;
  // Whether this relay must have replies from more than half of its fleet before it acts on pending work; see
  // Members.
  bool isCatchingUp();

 private:
  void onPeerUp(const PeerIntroduction& peer) override;
  void onPeerDown(const std::string& peer) override;
  bool onPeerMessage(const std::string& peer, FleetKind kind, std::string_view payload) override;
  void onPeerWritable(const std::string& peer) override;

  void storeIncarnation();
  // Must be the first call of each handler.
  void checkForStall();
  // Sends the messages of the step, logs its changes and schedules the next call.
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
  double dueMs_ = 0;                 // time of the next call of the members
  bool reportedCatchingUp_ = false;  // as last logged
  std::uint64_t stalls_ = 0;
};

}  // namespace myrtleloft
