// A fleet of audits in virtual time: relays with rules of their own, and a network between them that loses,
// delays, doubles, reorders and spoils what it is given.
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

inline int& plansAsked() {
  static int plans = 100;
  return plans;
}

// Cases that cost nothing: what a program does is a hash of what it was asked and of the program's number.
class ToyCases : public CaseFamily {
 public:
  static constexpr std::size_t kCases = 40, kSteps = 5;
  // `odd`: the case and step at which it does otherwise than its version says; -1: none.
  ToyCases(int program, int oddCase, int oddStep) : program_(program), oddCase_(oddCase), oddStep_(oddStep) {}
  const char* name() const override { return "toy"; }
  std::size_t cases() const override { return kCases; }
  std::unique_ptr<CaseRun> begin(const Hash& version, std::size_t index) const override {
    struct Run : CaseRun {
      Run(Draws d, int p, int s) : draws(std::move(d)), program(p), oddStep(s) {}
      bool next(CaseStep& step) override {
        if (at == static_cast<int>(kSteps)) return false;
        step.asked = std::to_string(draws.next());
        step.did = shortText(hashOf(step.asked + std::to_string(program) + (at == oddStep ? "odd" : "")));
        ++at;
        return true;
      }
      Draws draws;
      int program, oddStep, at = 0;
    };
    return std::make_unique<Run>(Draws(version, std::to_string(index)), program_,
                                 static_cast<int>(index) == oddCase_ ? oddStep_ : -1);
  }
  StepDifference difference(const CaseStep& here, const CaseStep& there) const override {
    return {here.asked, here.did, there.did};
  }

 private:
  int program_, oddCase_, oddStep_;
};

// What a relay decides by.
struct Rules {
  int program = 1, settings = 1, rules = 1;
  std::int64_t rev = 1;
  RulesVersion version() const {
    const auto of = [](const char* part, std::int64_t n) { return hashOf(part + std::to_string(n)); };
    return {{of("program", program), of("settings", settings), of("rules", rules), of("list", rev)}};
  }
};
using CasesOf = std::function<std::shared_ptr<const CaseSet>(const std::string& relay, const Hash& version)>;

struct Network {
  int lostPercent = 0, doubledPercent = 0, spoiltPercent = 0, delayMs = 0;
};

class AuditFleet {
 public:
  struct Said {
    double atMs;
    std::string by;
    AuditReport report;
  };
  AuditFleet(std::size_t relays, const Hash& seed, const AuditTuning& tuning, std::size_t stepsASecond = 60)
      : draws_(seed), tuning_(tuning), stepsASecond_(stepsASecond) {
    for (std::size_t i = 0; i < relays; ++i) names_.push_back("n" + std::to_string(i + 1));
  }

  // Starts, or starts anew, a relay with these rules; links come up with all that run.
  void start(const std::string& name, const RulesVersion& version, std::int64_t rev,
             std::shared_ptr<const CaseSet> cases) {
    stop(name);
    Relay& relay = relays_[name];
    relay.self = {17, ++starts_[name]};
    relay.audit = std::make_unique<Audit>(tuning_, relay.self, draws_.next());
    become(name, version, rev, std::move(cases));
    for (auto& [other, peer] : relays_)
      if (other != name && peer.audit) link(name, other);
  }
  void stop(const std::string& name) {
    const auto at = relays_.find(name);
    if (at == relays_.end()) return;
    relays_.erase(at);
    for (auto& [other, peer] : relays_) peer.audit->onPeerDown(name);
  }
  void become(const std::string& name, const RulesVersion& version, std::int64_t rev,
              std::shared_ptr<const CaseSet> cases) {
    relays_.at(name).audit->onRules(nowMs, version, rev, std::move(cases));
  }
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

  // A second goes by.
  void second() {
    nowMs += 1000;
    while (!flying_.empty() && flying_.begin()->first <= nowMs) {
      const auto [from, send] = std::move(flying_.begin()->second);
      flying_.erase(flying_.begin());
      const auto to = relays_.find(send.peer);
      if (to == relays_.end()) continue;
      Audit::Out out;
      to->second.audit->onMessage(nowMs, from, send.payload, out);
      takeUp(send.peer, out);
    }
    for (auto& [name, relay] : relays_) {
      Audit::Out out = relay.audit->onTick(nowMs);
      relay.audit->play(nowMs, stepsASecond_, out);
      takeUp(name, out);
    }
  }
  void seconds(int n) {
    for (; n > 0; --n) second();
  }

  Audit& at(const std::string& name) { return *relays_.at(name).audit; }
  bool runs(const std::string& name) const { return relays_.count(name) != 0; }
  const std::vector<std::string>& names() const { return names_; }
  bool all(AuditVerdict verdict) {
    for (const std::string& a : names_)
      for (const std::string& b : names_)
        if (a != b && at(a).verdict(nowMs, b) != verdict) return false;
    return true;
  }
  const Said* find(AuditReport::Kind kind, const std::string& by = "", const std::string& of = "",
                   const std::string& family = "") const {
    for (const Said& s : said)
      if (s.report.kind == kind && (by.empty() || s.by == by) && (of.empty() || s.report.peer == of) &&
          (family.empty() || s.report.family == family))
        return &s;
    return nullptr;
  }
  std::size_t count(AuditReport::Kind kind) const {
    return static_cast<std::size_t>(
        std::count_if(said.begin(), said.end(), [&](const Said& s) { return s.report.kind == kind; }));
  }
  void takeUp(const std::string& from, Audit::Out& out) {
    for (AuditReport& report : out.reports) said.push_back({nowMs, from, std::move(report)});
    for (AuditSend& send : out.sends) {
      ++sent;
      bytes += send.payload.size();
      if (draws_.chance(network.lostPercent)) continue;
      const int copies = draws_.chance(network.doubledPercent) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        AuditSend copy = send;
        if (draws_.chance(network.spoiltPercent)) spoil(copy.payload);
        const int late = draws_.chance(3) ? 10 * network.delayMs : network.delayMs;
        flying_.emplace(nowMs + draws_.below(late + 1), std::make_pair(from, std::move(copy)));
      }
    }
  }

  double nowMs = 0;
  Network network;
  std::vector<Said> said;
  std::uint64_t sent = 0, bytes = 0;

 private:
  // A bit of its bytes; or a field, with a check that fits.
  void spoil(std::string& payload) {
    AuditMessage m;
    decode(payload, m);
    const auto turn = [&](Hash& hash) { hash.low ^= 1ull << draws_.below(64); };
    const int what = draws_.below(5);
    auto* told = std::get_if<AuditTold>(&m.what);
    auto* answer = std::get_if<AuditAnswer>(&m.what);
    if (what == 0) {
      const auto at = static_cast<std::size_t>(draws_.below(static_cast<int>(payload.size())));
      payload[at] = static_cast<char>(payload[at] ^ (1 << draws_.below(8)));
      return;
    }
    if (what == 1)
      --(draws_.chance(50) ? m.from : m.to).start;
    else if (told && what == 2)
      turn(told->root);
    else if (told && what == 3)
      turn(told->version.parts[static_cast<std::size_t>(draws_.below(kRulesParts))]);
    else if (told)
      told->branches = static_cast<std::uint32_t>(draws_.next() >> draws_.between(32, 63));
    else if (answer && what == 2 && !answer->children.empty())
      turn(answer
               ->children[static_cast<std::size_t>(draws_.below(static_cast<int>(answer->children.size())))]);
    else if (answer && what == 3)
      answer->did += "x";
    else if (answer)
      answer->node.index ^= 1;
    else if (auto* question = std::get_if<AuditQuestion>(&m.what))
      question->node.level = static_cast<NodeLevel>(draws_.below(256));
    payload = encode(m);
  }

  struct Relay {
    Incarnation self;
    std::unique_ptr<Audit> audit;
  };
  Draws draws_;
  AuditTuning tuning_;
  std::size_t stepsASecond_;
  std::vector<std::string> names_;
  std::map<std::string, Relay> relays_;
  std::map<std::string, std::uint64_t> starts_;
  std::multimap<double, std::pair<std::string, AuditSend>> flying_;
};

}  // namespace myrtleloft::testing
