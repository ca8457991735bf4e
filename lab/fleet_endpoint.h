// The endpoints of a fleet's lab, and the one book in which all of its stand-ins write what they saw.
//
//   FleetWitness witness(hub);
//   FleetEndpoint a(witness, {"a", 7, "norte", 60}, {"n1", "n2"});
//   directoryOfN1.tell({a.entry("n1")});     // an address of its own for each relay: so it is told who calls
//   a.become(FleetEndpoint::Mode::kTurnAway);
//   hub.run([&] { a.turn(); return done; }, 2000);
//
// One thread; each must outlive the hub's last turn.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/answer_copies.h"
#include "lab/fleet_history.h"
#include "lab/hub.h"
#include "lab/stand_ins.h"

namespace myrtleloft::lab {

class FleetWitness {
 public:
  explicit FleetWitness(Hub& on) : hub(on), startMs_(steadyMs()) {}
  double nowMs() const { return steadyMs() - startMs_; }
  void see(FleetRecord record);
  // To be called in each turn of the hub: a turn that took longer than `kTurnMs` is a stall of the lab.
  void turn();

  Hub& hub;
  FleetHistory history;

 private:
  friend class FleetEndpoint;
  static constexpr double kTurnMs = 50;
  struct Out {
    Hub::Id connection = 0;
    FleetRecord call;
    double dueMs = 0;
    bool halted = false;  // its answer has begun and does not go on
  };
  // Calls of that message whose connection has ended, though the word of it has not come: it must not look as
  // if two were out.
  void sweep(const std::string& id);
  void end(const FleetRecord& call);

  double startMs_, turnedMs_ = 0;
  std::int64_t lastCall_ = 0;
  std::multimap<std::string, Out> out_;  // by message
};

class FleetEndpoint {
 public:
  enum class Mode : std::uint8_t {
    kServes,
    kSlow,       // answers after `slowMs`
    kRefuses,    // connections
    kDrops,      // ends the connection once the call has come
    kSilent,     // takes calls and answers none
    kErrs,       // 500
    kTurnsAway,  // 503
    kTellsWait,  // 429, to wait until `waitUntilMs` of the witness' clock
    kForgets,    // serves, and ends its connections soon after their answers, with a FIN or an RST
    kSpoils,     // serves; its answers end half-way, one in two within the first line
    kHalts       // serves; its answers begin and never end
  };
  struct Facts {
    std::string uid;
    int destination = 0;
    std::string zone;
    double perSecond = 1000;  // its capacity: told as a hint, recorded for the auditor, not enforced
    bool bulk = false;        // of the kind that takes several messages in a call
  };
  FleetEndpoint(FleetWitness& witness, Facts facts, const std::vector<std::string>& relays);

  const std::string& uid() const { return facts_.uid; }
  std::uint64_t copiesSent() const { return copies_.sent(); }
  Entry entry(const std::string& relay, bool leaving) const;
  // All but slowness and a told wait are an outage; after one it is cold, and what it can take grows as the
  // settings' coldShare and coldMs say.
  void become(Mode mode);
  // Answers what is due; to be called often.
  void turn();

  double serviceMs = 5, slowMs = 0, waitUntilMs = 0;
  // Serves more slowly, turns some calls away, and writes answers a second time (lab/answer_copies.h).
  bool answersTwice = false;

 private:
  struct Bulk {
    std::vector<FleetRecord> calls;
    double dueMs = 0;
    bool halted = false, over = false;  // over: answered, and kept until its connection ends or has another
  };
  static constexpr double kColdMs = 11000, kColdShare = 0.14, kStepMs = 500;
  void onMessage(const std::string& relay, Hub::Id from, const Message& m);
  void onClosed(Hub::Id from);
  void onBulk(const std::string& relay, Hub::Id from, const Message& m);
  void endBulk(Hub::Id from);
  // Whether it is over with that.
  bool settle(Hub::Id from, Bulk& bulk);
  bool answer(Hub::Id from, const Bulk& bulk);
  void answered(const FleetRecord& call, int status, double waitMs);
  int statusNow(const FleetRecord& call, double waitMs) const;
  void turnBulks(double now);
  void forgetIdle(double now);
  double serviceTimeMs(const FleetRecord& call) const;
  bool answer(const FleetWitness::Out& out);
  // Each: whether the call is over with that.
  bool settle(FleetWitness::Out& out);
  bool spoil(const FleetWitness::Out& out);
  void capacity(double share);

  FleetWitness& witness_;
  Facts facts_;
  Mode mode_ = Mode::kServes;
  std::map<std::string, std::string> addresses_;  // by relay
  std::map<Hub::Id, FleetRecord> answered_;       // the last call on a connection
  std::map<Hub::Id, Bulk> bulks_;                 // by connection
  std::map<Hub::Id, double> forgets_;             // connections that are to end, and when
  AnswerCopies copies_;
  double backMs_ = -kColdMs, steppedMs_ = 0;
};

}  // namespace myrtleloft::lab
