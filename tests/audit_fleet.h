// A simulated fleet of consistency checkers in virtual time. Each relay has its own rules, and the network
// loses, delays, duplicates, reorders and corrupts messages.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "audit/audit.h"

namespace myrtleloft::testing {

// Number of random plans to run; set by --plans.
inline int& planCount() {
  static int plans = 100;
  return plans;
}

// Cheap cases: the output of a step is a hash of its input and of the program's number.
class FakeCases : public CaseFamily {
 public:
  static constexpr std::size_t kCases = 40, kSteps = 5;
  // `divergentCase` and `divergentStep` give the one step with a different output; -1 for none.
  FakeCases(int program, int divergentCase, int divergentStep)
      : program_(program), divergentCase_(divergentCase), divergentStep_(divergentStep) {}
  const char* name() const override { return "fake"; }
  std::size_t cases() const override { return kCases; }
  std::unique_ptr<CaseRun> begin(const Hash& version, std::size_t index) const override {
    struct Run : CaseRun {
      Run(DeterministicRandom r, int p, int s) : random(std::move(r)), program(p), divergentStep(s) {}
      bool next(CaseStep& step) override {
        if (at == static_cast<int>(kSteps)) return false;
        step.input = std::to_string(random.next());
        step.output =
            shortText(hashOf(step.input + std::to_string(program) + (at == divergentStep ? "odd" : "")));
        ++at;
        return true;
      }
      DeterministicRandom random;
      int program, divergentStep, at = 0;
    };
    return std::make_unique<Run>(DeterministicRandom(version, std::to_string(index)), program_,
                                 static_cast<int>(index) == divergentCase_ ? divergentStep_ : -1);
  }
  StepDifference difference(const CaseStep& here, const CaseStep& there) const override {
    return {here.input, here.output, there.output};
  }

 private:
  int program_, divergentCase_, divergentStep_;
};

// Version numbers of the parts of a relay's rules.
struct Rules {
  int program = 1, settings = 1, rules = 1;
  std::int64_t rev = 1;
  RulesVersion version() const {
    const auto of = [](const char* part, std::int64_t n) { return hashOf(part + std::to_string(n)); };
    return {{of("program", program), of("settings", settings), of("rules", rules), of("list", rev)}};
  }
};
using CasesOf = std::function<std::shared_ptr<const CaseSet>(const std::string& relay, const Hash& version)>;

// Fault rates of the simulated network.
struct Network {
  int lossPercent = 0, duplicatePercent = 0, corruptPercent = 0, delayMs = 0;
};

class AuditFleet {
 public:
  // A report and the relay that made it.
  struct ReceivedReport {
    double atMs;
    std::string by;
    AuditReport report;
  };
  AuditFleet(std::size_t relays, const Hash& seed, const AuditTuning& tuning, std::size_t stepsPerSecond = 60)
      : random_(seed), tuning_(tuning), stepsPerSecond_(stepsPerSecond) {
    for (std::size_t i = 0; i < relays; ++i) names_.push_back("n" + std::to_string(i + 1));
  }

  // Starts or restarts a relay with these rules and connects it to all running relays.
  void start(const std::string& name, const RulesVersion& version, std::int64_t rev,
             std::shared_ptr<const CaseSet> cases) {
    stop(name);
    Relay& relay = relays_[name];
    relay.self = {17, ++starts_[name]};
    relay.audit = std::make_unique<ConsistencyChecker>(tuning_, relay.self, random_.next());
    setRules(name, version, rev, std::move(cases));
    for (auto& [other, peer] : relays_)
      if (other != name && peer.audit) link(name, other);
  }
  void stop(const std::string& name) {
    const auto at = relays_.find(name);
    if (at == relays_.end()) return;
    relays_.erase(at);
    for (auto& [other, peer] : relays_) peer.audit->onPeerDown(name);
  }
  void setRules(const std::string& name, const RulesVersion& version, std::int64_t rev,
                std::shared_ptr<const CaseSet> cases) {
    relays_.at(name).audit->onRules(nowMs, version, rev, std::move(cases));
  }
  // Disconnects two relays.
  void cut(const std::string& a, const std::string& b) {
    if (!relays_.count(a) || !relays_.count(b)) return;
    at(a).onPeerDown(b);
    at(b).onPeerDown(a);
  }
  void link(const std::string& a, const std::string& b) {
    if (!relays_.count(a) || !relays_.count(b)) return;
    at(a).onPeerUp({"fleet", b, "", relays_.at(b).self});
    at(b).onPeerUp({"fleet", a, "", relays_.at(a).self});
  }

  // Advances the time by one second.
  void second() {
    nowMs += 1000;
    while (!inFlight_.empty() && inFlight_.begin()->first <= nowMs) {
      const auto [from, send] = std::move(inFlight_.begin()->second);
      inFlight_.erase(inFlight_.begin());
      const auto to = relays_.find(send.peer);
      if (to == relays_.end()) continue;
      ConsistencyChecker::Out out;
      to->second.audit->onMessage(nowMs, from, send.payload, out);
      deliver(send.peer, out);
    }
    for (auto& [name, relay] : relays_) {
      ConsistencyChecker::Out out = relay.audit->onTick(nowMs);
      relay.audit->play(nowMs, stepsPerSecond_, out);
      deliver(name, out);
    }
  }
  void seconds(int n) {
    for (; n > 0; --n) second();
  }

  ConsistencyChecker& at(const std::string& name) { return *relays_.at(name).audit; }
  bool runs(const std::string& name) const { return relays_.count(name) != 0; }
  const std::vector<std::string>& names() const { return names_; }
  bool all(AuditVerdict verdict) {
    for (const std::string& a : names_)
      for (const std::string& b : names_)
        if (a != b && at(a).verdict(nowMs, b) != verdict) return false;
    return true;
  }
  const ReceivedReport* find(AuditReport::Kind kind, const std::string& by = "", const std::string& of = "",
                             const std::string& family = "") const {
    for (const ReceivedReport& s : reports)
      if (s.report.kind == kind && (by.empty() || s.by == by) && (of.empty() || s.report.peer == of) &&
          (family.empty() || s.report.family == family))
        return &s;
    return nullptr;
  }
  std::size_t count(AuditReport::Kind kind) const {
    return static_cast<std::size_t>(std::count_if(
        reports.begin(), reports.end(), [&](const ReceivedReport& s) { return s.report.kind == kind; }));
  }
  // Stores the reports of relay `from` and puts its messages on the network.
  void deliver(const std::string& from, ConsistencyChecker::Out& out) {
    for (AuditReport& report : out.reports) reports.push_back({nowMs, from, std::move(report)});
    for (AuditSend& send : out.sends) {
      ++sent;
      bytes += send.payload.size();
      if (random_.chance(network.lossPercent)) continue;
      const int copies = random_.chance(network.duplicatePercent) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        AuditSend copy = send;
        if (random_.chance(network.corruptPercent)) corrupt(copy.payload);
        const int late = random_.chance(3) ? 10 * network.delayMs : network.delayMs;
        inFlight_.emplace(nowMs + random_.below(late + 1), std::make_pair(from, std::move(copy)));
      }
    }
  }

  double nowMs = 0;
  Network network;
  std::vector<ReceivedReport> reports;
  std::uint64_t sent = 0, bytes = 0;

 private:
  // Flips a bit of the encoded message, or changes a field and encodes it with a valid checksum.
  void corrupt(std::string& payload) {
    AuditMessage m;
    decode(payload, m);
    const auto flipBit = [&](Hash& hash) { hash.low ^= 1ull << random_.below(64); };
    const int what = random_.below(5);
    auto* digestReport = std::get_if<DigestReport>(&m.body);
    auto* answer = std::get_if<AuditAnswer>(&m.body);
    if (what == 0) {
      const auto at = static_cast<std::size_t>(random_.below(static_cast<int>(payload.size())));
      payload[at] = static_cast<char>(payload[at] ^ (1 << random_.below(8)));
      return;
    }
    if (what == 1)
      --(random_.chance(50) ? m.from : m.to).start;
    else if (digestReport && what == 2)
      flipBit(digestReport->root);
    else if (digestReport && what == 3)
      flipBit(digestReport->version.parts[static_cast<std::size_t>(random_.below(kRulesParts))]);
    else if (digestReport)
      digestReport->branches = static_cast<std::uint32_t>(random_.next() >> random_.between(32, 63));
    else if (answer && what == 2 && !answer->children.empty())
      flipBit(
          answer
              ->children[static_cast<std::size_t>(random_.below(static_cast<int>(answer->children.size())))]);
    else if (answer && what == 3)
      answer->output += "x";
    else if (answer)
      answer->node.index ^= 1;
    else if (auto* question = std::get_if<AuditQuestion>(&m.body))
      question->node.level = static_cast<NodeLevel>(random_.below(256));
    payload = encode(m);
  }

  struct Relay {
    Incarnation self;
    std::unique_ptr<ConsistencyChecker> audit;
  };
  DeterministicRandom random_;
  AuditTuning tuning_;
  std::size_t stepsPerSecond_;
  std::vector<std::string> names_;
  std::map<std::string, Relay> relays_;
  std::map<std::string, std::uint64_t> starts_;
  std::multimap<double, std::pair<std::string, AuditSend>> inFlight_;
};

}  // namespace myrtleloft::testing
