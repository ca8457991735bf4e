// Runs the ConsistencyChecker on the event loop: calls it periodically, limits its share of the core, keeps
// its version of the rules up to date, sends its messages and logs its reports.
//
// The endpoint list is compared by revision and size once a second and digested in full once a round. A
// change that is noticed late causes no false report, as the version tells which rules a digest is for. The
// full digest takes time linear in the list, some 3 ms for 10,000 endpoints.
#pragma once

#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "audit/audit.h"
#include "audit/share.h"
#include "config/config.h"
#include "fleet/peer_links.h"
#include "log/log.h"
#include "net/loop.h"

namespace myrtleloft {

// The configuration and endpoint list by which this relay decides.
struct AuditedRules {
  const Config& config;
  const EndpointTable& list;
};

class AuditDriver {
 public:
  struct Parts {
    Loop& loop;
    PeerLinks& links;
    Log log;
    AuditedRules rules;
  };
  // `roundIntervalS` must be positive.
  AuditDriver(const Parts& parts, int roundIntervalS, const Incarnation& self, std::uint64_t seed);
  ~AuditDriver() { parts_.loop.cancel(timer_); }
  AuditDriver(const AuditDriver&) = delete;
  AuditDriver& operator=(const AuditDriver&) = delete;

  void onPeerUp(const PeerIntroduction& peer);
  void onPeerDown(const std::string& peer) { audit_.onPeerDown(peer); }
  // Drops the state of all peers that are not in `names`.
  void setPeers(const std::set<std::string>& names);
  // Returns false if `payload` is not a valid audit message.
  bool onMessage(const std::string& peer, std::string_view payload);
  // Takes each batch before the decision module handles it. From time to time a window of batches is recorded
  // and sent to a peer.
  void onBatch(double nowMs, const std::vector<Event>& events);
  // Writes the counters for the log line "counters fleet: ...".
  void print(std::ostream& out) const;
  const ConsistencyChecker& audit() const { return audit_; }

 private:
  static constexpr double kTickMs = 100, kListCheckIntervalMs = 1000;
  // Interval between recorded windows and the longest duration of one, in rounds.
  static constexpr double kWindowIntervalRounds = 10, kWindowDurationRounds = 1;
  void tick();
  void updateRules(double nowMs);
  void closeWindow(double nowMs);
  void process(const ConsistencyChecker::Out& out);
  void logReport(const AuditReport& report);

  Parts parts_;
  ConsistencyChecker audit_;
  CoreShare share_;
  Recorder recorder_;
  double windowTimeMs_;  // start of the open window, or of the next one if none is open
  std::set<std::string> peers_;
  Loop::Timer timer_ = Loop::kNoTimer;
  double lastListCheckMs_ = -kListCheckIntervalMs, lastDigestMs_ = 0;
  double roundIntervalMs_;
  std::size_t listSize_ = 0;
};

}  // namespace myrtleloft
