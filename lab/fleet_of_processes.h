// A fleet of real relay processes between stand-ins, and the play of a plan of faults on it.
//
//   FleetOfProcesses fleet({.program = "build/myrtleloft", .relays = 3});
//   fleet.play(drawPlan(seed, fleet.shape(kinds)));
//   for (const AuditFinding& finding : fleet.judge()) ...;      // fleet.report() says seed, plan, findings
//
// Each relay has its own folder, configuration, operator's file, and its own directory, as its platform's
// agent would be; endpoints have an address of their own for each relay. One thread; all on 127.0.0.1.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lab/auditor.h"
#include "lab/fault_plan.h"
#include "lab/fault_shim.h"
#include "lab/fleet_clients.h"
#include "lab/fleet_endpoint.h"
#include "lab/link_stand_in.h"
#include "lab/processor_wait.h"
#include "lab/rude_clients.h"

namespace myrtleloft::lab {

// Where a relay stands among the others, for its operator's file.
struct FleetPlace {
  std::string name, listen;                  // of its own links
  std::map<std::string, std::string> peers;  // by name: the address of the stand-in that leads there
};

struct FleetOptions {
  std::string program;
  int relays = 3;
  // Empty text: no operator's file.
  std::function<std::string(const FleetPlace&)> operatorText = {};
  double trafficMs = 5000, perSecond = 60;  // messages of all three classes, at any relay and destination
  double messageMs = 6000;                  // their time
  double slackMs = 1500;                    // AuditRules::slackMs
  double waitSlackMs = -1;                  // AuditRules::waitSlackMs
  double statusSlackMs = -1;                // AuditRules::statusSlackMs
  double perEndpoint = 60;                  // calls a second that an endpoint takes from all relays together
  double endpointMs = 0;                    // above 0: endpoints answer after so long
  double diskMb = 16;
  // AuditRules::shortOutageMs. The decision module says (policy.cpp, at `tell`) that it does not cover
  // outages under 0.4 of coldMs at endpoints that are called often.
  double shortOutageMs = 0.4 * 11000;
  // For faults of machines and surroundings. `shim`: the library of lab/fault_shim_*.cpp, loaded into each
  // relay; empty: none, and no faults that need it.
  std::string shim = {};
  bool proxies = false;  // calls reach endpoints through stand-ins for links, "n1>e1", that faults may act on
  double leastMessageMs = 0;  // above 0: a message's time is drawn from there to `messageMs`
  int reusedOfTen = 0;        // FleetClients::reusedOfTen
  double windowMs = 15000;    // of the keyed class
  bool bulk = false;          // every other endpoint takes several messages in a call
  int burst = 1;              // messages handed in together, to one relay for one destination
  int hastyOfHundred = 0;     // of a hundred messages, how many have next to no time
};

class FleetOfProcesses {
 public:
  explicit FleetOfProcesses(FleetOptions options);
  ~FleetOfProcesses();
  FleetOfProcesses(const FleetOfProcesses&) = delete;
  FleetOfProcesses& operator=(const FleetOfProcesses&) = delete;

  // Of this fleet's relays and endpoints ("e1" to "e6", two for each of the destinations 7, 8 and 9), within
  // the time of its traffic.
  PlanShape shape(std::vector<FaultKind> kinds, int count) const;
  // Starts all, plays traffic and plan together, and goes on until every message taken on has its end or is
  // overdue. false: a relay did not start; `report` says which.
  bool play(const FaultPlan& plan);
  std::vector<AuditFinding> judge() const { return audit(rules_, witness_.history); }
  // The play for who has to find out what happened: seed, plan, findings, what was seen how often.
  std::string report() const;
  std::string logs() const;
  std::string logOf(const std::string& relay) const;
  // What the shims made fail, in all: calls, changes of the disk, delays.
  std::string shimCounts() const;
  // What was answered a second time, and how many posts the platforms left unanswered.
  std::string copyCounts() const;

  const FleetHistory& history() const { return witness_.history; }
  std::size_t count(Saw saw) const;
  double sumMs(Saw saw) const;

 private:
  static constexpr double kToldMs = 6000, kStartAfterMs = 600;  // PROTOCOL's
  static constexpr double kAskUpEveryMs = 20;
  static constexpr std::array<const char*, 3> kClasses = {"status-update", "caption-order", "billing-charge"};
  static constexpr int kFirstDestination = 7, kDestinations = 3;
  static std::string freeAddress();
  enum class Phase : std::uint8_t { kAway, kStarting, kUp, kStopped, kDraining };
  struct Relay {
    std::string name, folder, operatorFile, links;
    std::string listen;  // the same after each restart, as the platform has it
    Hub::Id asks = 0;    // the connection of the present GET /up
    double askAgainMs = 0;
    double diskMb = 0;
    int lateConfig = 0;  // FaultKind::kLateConfig's amount while that lasts, otherwise 0
    Phase phase = Phase::kAway;
    std::unique_ptr<Directory> directory,
        otherDirectory;  // the one that is configured, and where it may move
    std::unique_ptr<FaultShim> shim;
    std::unique_ptr<RudeClients> rude;
    std::unique_ptr<Program> program;
    double drainsMs = 0, startAtMs = 0, toldAtMs = 0;
    std::multimap<double, int> signals;  // still to be sent, by when
    std::uint64_t holdsSeen = 0;         // of those that its shim has noted
    ProcessorWait processorWait;
    double processorAskedMs = 0;
    std::vector<Hub::Id> flood;    // silent connections to it
    std::set<std::string> untold;  // endpoints that its directory tells to drain
  };

  std::string config(const Relay& relay) const;
  void writeConfig(const Relay& relay) const;
  void start(Relay& relay);
  void end(Relay& relay);
  void begin(const Fault& fault, bool begins);
  void onRelay(Relay& relay, const Fault& fault, bool begins);
  void onMachine(Relay& relay, const Fault& fault, bool begins);
  void trouble(const Relay& relay, int what, bool begins);
  void reload(Relay& relay, const Fault& fault, bool begins);
  void moveDirectory(Relay& relay);
  void hangUp(Relay& relay);
  // SIGTERM, unless it is not up.
  void drain(Relay& relay);
  void signalInSeries(Relay& relay, int series);
  void sendDueSignals(Relay& relay);
  // Notes when the shim held its process up since the last turn.
  void seeHolds(Relay& relay);
  // Notes a hold of its process that lasts as it is killed.
  void seeUnfinishedHold(Relay& relay);
  // Notes for how long its process had no processor.
  void seeStarved(Relay& relay);
  void crowd(const Relay& relay, int messages);
  void flood(Relay& relay, std::size_t connections);
  void onEndpoint(FleetEndpoint& endpoint, const Fault& fault, bool begins);
  // Its process may have ended by itself.
  void lookAfter(Relay& relay);
  // Asks one that starts for /up: it is put to use once that has answered 200.
  void askUp(Relay& relay);
  void place(Relay& relay);
  void onLink(LinkStandIn& link, const Fault& fault, bool begins);
  void tell(const std::string& endpoint);
  void turn();
  void turn(Relay& relay);
  bool until(const std::function<bool()>& done, double mostMs);
  void handIn();
  bool settled() const;

  FleetOptions options_;
  std::string folder_;
  Hub hub_;
  FleetWitness witness_{hub_};
  AuditRules rules_;
  FaultPlan plan_;
  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<std::unique_ptr<FleetEndpoint>> endpoints_;
  std::map<std::string, bool> leaving_;
  std::map<std::string, std::unique_ptr<LinkStandIn>> links_;  // "n1>n2"
  std::unique_ptr<FleetClients> clients_;
};

}  // namespace myrtleloft::lab
