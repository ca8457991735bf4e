// Random plans with message loss, delay, duplication and corruption, restarts, disconnected links and rule
// changes that reach the relays one by one. No relay may be falsely reported as divergent or late, and in the
// end all relays must reach the right verdict.
#include <doctest/doctest.h>

#include "tests/audit_fleet.h"

using namespace myrtleloft;
using myrtleloft::testing::AuditFleet;
using myrtleloft::testing::FakeCases;
using myrtleloft::testing::Rules;

namespace {

constexpr int kFaultPhaseS = 2400, kRecoveryPhaseS = 900;

class Plan {
 public:
  Plan(int number, bool oneDiverges)
      : random_({static_cast<std::uint64_t>(number), oneDiverges}, "plan"),
        fleet_(static_cast<std::size_t>(random_.between(3, 6)), {random_.next(), 0}, AuditTuning()) {
    if (oneDiverges)
      divergentRelay_ = "n" + std::to_string(random_.between(1, static_cast<int>(fleet_.names().size())));
    divergentCase_ = random_.below(FakeCases::kCases);
    divergentStep_ = random_.below(FakeCases::kSteps);
    for (const std::string& name : fleet_.names()) start(name);
    fleet_.network.lossPercent = random_.between(0, 30);
    fleet_.network.duplicatePercent = random_.between(0, 30);
    fleet_.network.corruptPercent = random_.between(0, 10);
    fleet_.network.delayMs = random_.between(0, 8000);
    listEveryS_ = random_.chance(50) ? random_.between(2, 90) : 0;
    rollPercent_ = random_.between(0, 100);
  }

  void run() {
    for (int s = 0; s < kFaultPhaseS; ++s) {
      injectFaults(s);
      fleet_.second();
      checkReports();
    }
    fleet_.network = {};
    for (const std::string& a : fleet_.names()) {
      if (!fleet_.runs(a)) start(a);
      rulesOf_[a] = newest_;
      setRules(a);
    }
    for (const std::string& a : fleet_.names())
      for (const std::string& b : fleet_.names())
        if (a < b) fleet_.link(a, b);
    for (int s = 0; s < kRecoveryPhaseS; ++s) {
      fleet_.second();
      checkReports();
    }
  }
  // Counts the new reports, and those of a divergence between two equal relays or at the wrong step.
  void checkReports() {
    for (; checkedReports_ < fleet_.reports.size(); ++checkedReports_) {
      const AuditFleet::ReceivedReport& s = fleet_.reports[checkedReports_];
      lateReports_ += s.report.kind == AuditReport::Kind::kLateVersion;
      if (s.report.kind != AuditReport::Kind::kDiverged) continue;
      ++divergences_;
      if (s.by != divergentRelay_ && s.report.peer != divergentRelay_) ++falseDivergences_;
      if (static_cast<int>(s.report.number) != divergentCase_ ||
          static_cast<int>(s.report.step) != divergentStep_)
        ++wrongPlace_;
    }
  }
  // Whether each relay has the right verdict on each other one.
  bool settled() {
    for (const std::string& a : fleet_.names())
      for (const std::string& b : fleet_.names()) {
        if (a == b) continue;
        const bool other = a == divergentRelay_ || b == divergentRelay_;
        if (fleet_.at(a).verdict(fleet_.nowMs, b) != (other ? AuditVerdict::kDiverged : AuditVerdict::kAgree))
          return false;
      }
    return true;
  }
  bool divergentDiffersFromAll() { return fleet_.at(divergentRelay_).divergesFromAllOthers(fleet_.nowMs); }
  bool othersDifferFromAll() {
    return std::any_of(fleet_.names().begin(), fleet_.names().end(), [&](const std::string& name) {
      return name != divergentRelay_ && fleet_.at(name).divergesFromAllOthers(fleet_.nowMs);
    });
  }
  int falseDivergences() const { return falseDivergences_; }
  int wrongPlace() const { return wrongPlace_; }
  int lateReports() const { return lateReports_; }
  int divergences() const { return divergences_; }

 private:
  std::shared_ptr<const CaseSet> cases(const std::string& name) {
    std::vector<std::unique_ptr<CaseFamily>> families;
    families.push_back(std::make_unique<FakeCases>(
        rulesOf_[name].program, name == divergentRelay_ ? divergentCase_ : -1, divergentStep_));
    return std::make_shared<CaseSet>(rulesOf_[name].version().digest(), std::move(families));
  }
  void start(const std::string& name) {
    fleet_.start(name, rulesOf_[name].version(), rulesOf_[name].rev, cases(name));
  }
  void setRules(const std::string& name) {
    fleet_.setRules(name, rulesOf_[name].version(), rulesOf_[name].rev, cases(name));
  }

  void injectFaults(int s) {
    const auto anyRelay = [&] {
      return fleet_.names()[static_cast<std::size_t>(random_.below(static_cast<int>(fleet_.names().size())))];
    };
    if (random_.below(200) == 0) {
      const std::string name = anyRelay();
      if (fleet_.runs(name) && random_.chance(30))
        fleet_.stop(name);
      else
        start(name);
    }
    if (random_.below(100) == 0) fleet_.cut(anyRelay(), anyRelay());
    if (random_.below(60) == 0) {
      const std::string a = anyRelay(), b = anyRelay();
      if (a != b) fleet_.link(a, b);
    }
    // Discovery updates each relay within a few seconds.
    if (listEveryS_ > 0 && s % listEveryS_ == 0) ++newest_.rev;
    for (const std::string& name : fleet_.names()) {
      const bool behind = rulesOf_[name].rev != newest_.rev && random_.chance(60);
      if (behind) rulesOf_[name].rev = newest_.rev;
      if (behind && fleet_.runs(name)) setRules(name);
    }
    // A rolling change starts at most every ten minutes and takes up to six.
    if (s % 600 == 0 && random_.chance(rollPercent_)) {
      const int what = random_.below(3);
      ++(what == 0 ? newest_.program : what == 1 ? newest_.settings : newest_.rules);
      for (const std::string& name : fleet_.names()) dueS_[name] = s + random_.below(360);
    }
    for (const std::string& name : fleet_.names()) {
      const auto due = dueS_.find(name);
      if (due == dueS_.end() || s < due->second) continue;
      dueS_.erase(due);
      const std::int64_t rev = rulesOf_[name].rev;
      const bool restart = rulesOf_[name].program != newest_.program || !fleet_.runs(name);
      rulesOf_[name] = newest_;
      rulesOf_[name].rev = rev;
      restart ? start(name) : setRules(name);
    }
  }

  DeterministicRandom random_;
  AuditFleet fleet_;
  std::string divergentRelay_;
  int divergentCase_ = -1, divergentStep_ = -1;
  Rules newest_;
  std::map<std::string, Rules> rulesOf_;
  std::map<std::string, int> dueS_;
  int listEveryS_ = 0, rollPercent_ = 0;
  std::size_t checkedReports_ = 0;
  int falseDivergences_ = 0, wrongPlace_ = 0, lateReports_ = 0, divergences_ = 0;
};

}  // namespace

TEST_CASE("no plan makes alike relays differ or late, and they agree when it is over") {
  for (int number = 1; number <= testing::planCount(); ++number) {
    CAPTURE(number);
    Plan plan(number, false);
    plan.run();
    CHECK(plan.divergences() == 0);
    CHECK(plan.lateReports() == 0);
    CHECK(plan.settled());
  }
}

TEST_CASE("one relay that decides otherwise is named in every plan, by its step, and nobody else is") {
  int named = 0;
  for (int number = 1; number <= testing::planCount() / 2; ++number) {
    CAPTURE(number);
    Plan plan(number, true);
    plan.run();
    CHECK(plan.falseDivergences() == 0);
    CHECK(plan.wrongPlace() == 0);
    CHECK(plan.lateReports() == 0);
    CHECK(plan.settled());
    CHECK(plan.divergentDiffersFromAll());
    CHECK_FALSE(plan.othersDifferFromAll());
    named += plan.divergences();
  }
  CHECK(named > 0);
}
