// Drawn plans: loss, delay, doubling, spoilt bytes, restarts, cut links, and rules that change relay by
// relay. However it goes, nobody is said to differ who does not, nor to be late who is not; and all agree in
// the end.
#include <doctest/doctest.h>

#include "tests/audit_fleet.h"

using namespace myrtleloft;
using myrtleloft::testing::AuditFleet;
using myrtleloft::testing::Rules;
using myrtleloft::testing::ToyCases;

namespace {

constexpr int kStormS = 2400, kCalmS = 900;

class Plan {
 public:
  Plan(int number, bool odd)
      : draws_({static_cast<std::uint64_t>(number), odd}, "plan"),
        fleet_(static_cast<std::size_t>(draws_.between(3, 6)), {draws_.next(), 0}, AuditTuning()) {
    if (odd) odd_ = "n" + std::to_string(draws_.between(1, static_cast<int>(fleet_.names().size())));
    oddCase_ = draws_.below(ToyCases::kCases);
    oddStep_ = draws_.below(ToyCases::kSteps);
    for (const std::string& name : fleet_.names()) start(name);
    fleet_.network.lostPercent = draws_.between(0, 30);
    fleet_.network.doubledPercent = draws_.between(0, 30);
    fleet_.network.spoiltPercent = draws_.between(0, 10);
    fleet_.network.delayMs = draws_.between(0, 8000);
    listEveryS_ = draws_.chance(50) ? draws_.between(2, 90) : 0;
    rollPercent_ = draws_.between(0, 100);
  }

  void run() {
    for (int s = 0; s < kStormS; ++s) {
      trouble(s);
      fleet_.second();
      look();
    }
    fleet_.network = {};
    for (const std::string& a : fleet_.names()) {
      if (!fleet_.runs(a)) start(a);
      has_[a] = newest_;
      become(a);
    }
    for (const std::string& a : fleet_.names())
      for (const std::string& b : fleet_.names())
        if (a < b) fleet_.link(a, b);
    for (int s = 0; s < kCalmS; ++s) {
      fleet_.second();
      look();
    }
  }
  // Never of two that are alike.
  void look() {
    for (; seen_ < fleet_.said.size(); ++seen_) {
      const AuditFleet::Said& s = fleet_.said[seen_];
      late_ += s.report.kind == AuditReport::Kind::kLateVersion;
      if (s.report.kind != AuditReport::Kind::kDiffer) continue;
      ++differ_;
      if (s.by != odd_ && s.report.peer != odd_) ++wrong_;
      if (static_cast<int>(s.report.number) != oddCase_ || static_cast<int>(s.report.step) != oddStep_)
        ++misnamed_;
    }
  }
  // In the end each pair knows of each other what is so.
  bool settled() {
    for (const std::string& a : fleet_.names())
      for (const std::string& b : fleet_.names()) {
        if (a == b) continue;
        const bool other = a == odd_ || b == odd_;
        if (fleet_.at(a).verdict(fleet_.nowMs, b) != (other ? AuditVerdict::kDiffer : AuditVerdict::kAgree))
          return false;
      }
    return true;
  }
  bool alone() { return fleet_.at(odd_).differsFromAllOthers(fleet_.nowMs); }
  bool othersAlone() {
    return std::any_of(fleet_.names().begin(), fleet_.names().end(), [&](const std::string& name) {
      return name != odd_ && fleet_.at(name).differsFromAllOthers(fleet_.nowMs);
    });
  }
  int wrong() const { return wrong_; }
  int misnamed() const { return misnamed_; }
  int late() const { return late_; }
  int differ() const { return differ_; }

 private:
  std::shared_ptr<const CaseSet> cases(const std::string& name) {
    std::vector<std::unique_ptr<CaseFamily>> families;
    families.push_back(
        std::make_unique<ToyCases>(has_[name].program, name == odd_ ? oddCase_ : -1, oddStep_));
    return std::make_shared<CaseSet>(has_[name].version().digest(), std::move(families));
  }
  void start(const std::string& name) {
    fleet_.start(name, has_[name].version(), has_[name].rev, cases(name));
  }
  void become(const std::string& name) {
    fleet_.become(name, has_[name].version(), has_[name].rev, cases(name));
  }

  void trouble(int s) {
    const auto some = [&] {
      return fleet_.names()[static_cast<std::size_t>(draws_.below(static_cast<int>(fleet_.names().size())))];
    };
    if (draws_.below(200) == 0) {
      const std::string name = some();
      if (fleet_.runs(name) && draws_.chance(30))
        fleet_.stop(name);
      else
        start(name);
    }
    if (draws_.below(100) == 0) fleet_.cut(some(), some());
    if (draws_.below(60) == 0) {
      const std::string a = some(), b = some();
      if (a != b) fleet_.link(a, b);
    }
    // Discovery tells all, each within two seconds.
    if (listEveryS_ > 0 && s % listEveryS_ == 0) ++newest_.rev;
    for (const std::string& name : fleet_.names()) {
      const bool behind = has_[name].rev != newest_.rev && draws_.chance(60);
      if (behind) has_[name].rev = newest_.rev;
      if (behind && fleet_.runs(name)) become(name);
    }
    // A rolling change begins every ten minutes at most and is through within six.
    if (s % 600 == 0 && draws_.chance(rollPercent_)) {
      const int what = draws_.below(3);
      ++(what == 0 ? newest_.program : what == 1 ? newest_.settings : newest_.rules);
      for (const std::string& name : fleet_.names()) dueS_[name] = s + draws_.below(360);
    }
    for (const std::string& name : fleet_.names()) {
      const auto due = dueS_.find(name);
      if (due == dueS_.end() || s < due->second) continue;
      dueS_.erase(due);
      const std::int64_t rev = has_[name].rev;
      const bool anew = has_[name].program != newest_.program || !fleet_.runs(name);
      has_[name] = newest_;
      has_[name].rev = rev;
      anew ? start(name) : become(name);
    }
  }

  Draws draws_;
  AuditFleet fleet_;
  std::string odd_;
  int oddCase_ = -1, oddStep_ = -1;
  Rules newest_;
  std::map<std::string, Rules> has_;
  std::map<std::string, int> dueS_;
  int listEveryS_ = 0, rollPercent_ = 0;
  std::size_t seen_ = 0;
  int wrong_ = 0, misnamed_ = 0, late_ = 0, differ_ = 0;
};

}  // namespace

TEST_CASE("no plan makes alike relays differ or late, and they agree when it is over") {
  for (int number = 1; number <= testing::plansAsked(); ++number) {
    CAPTURE(number);
    Plan plan(number, false);
    plan.run();
    CHECK(plan.differ() == 0);
    CHECK(plan.late() == 0);
    CHECK(plan.settled());
  }
}

TEST_CASE("one relay that decides otherwise is named in every plan, by its step, and nobody else is") {
  int named = 0;
  for (int number = 1; number <= testing::plansAsked() / 2; ++number) {
    CAPTURE(number);
    Plan plan(number, true);
    plan.run();
    CHECK(plan.wrong() == 0);
    CHECK(plan.misnamed() == 0);
    CHECK(plan.late() == 0);
    CHECK(plan.settled());
    CHECK(plan.alone());
    CHECK_FALSE(plan.othersAlone());
    named += plan.differ();
  }
  CHECK(named > 0);
}
