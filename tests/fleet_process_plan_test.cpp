// Plans of faults, without any process: drawn alike from a seed, read back from their text, played in order,
// shortened to what fails.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "lab/fault_plan.h"

using namespace myrtleloft::lab;

namespace {

PlanShape wide() {
  PlanShape shape{{"n1", "n2", "n3"}, {"a", "b"}, {}, 12, 8000, 100, 2000};
  for (int kind = 0; kind < kFaultKinds; ++kind) shape.kinds.push_back(static_cast<FaultKind>(kind));
  return shape;
}

}  // namespace

TEST_CASE("a seed gives one plan, within its shape, and its text gives it back") {
  std::set<FaultKind> seen;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const FaultPlan plan = drawPlan(seed, wide());
    CHECK(plan == drawPlan(seed, wide()));
    std::string error;
    CHECK(parsePlan(print(plan), error) == plan);
    for (std::size_t i = 0; i < plan.faults.size(); ++i) {
      const Fault& f = plan.faults[i];
      seen.insert(f.kind);
      CHECK(f.atMs + f.forMs <= 8000);
      CHECK(f.forMs >= 100);
      for (std::size_t j = 0; j < i; ++j) {
        CHECK(plan.faults[j].atMs <= f.atMs);
        if (plan.faults[j].target == f.target) CHECK(plan.faults[j].atMs + plan.faults[j].forMs < f.atMs);
      }
      const std::size_t arrow = f.target.find('>');
      if (arrow != std::string::npos) CHECK(f.target.substr(0, arrow) != f.target.substr(arrow + 1));
    }
  }
  CHECK(seen.size() == kFaultKinds);
  CHECK(drawPlan(1, wide()) != drawPlan(2, wide()));
}

TEST_CASE("a plan that cannot be read names its line") {
  std::string error;
  for (const char* line : {"seed x", "10 kill n1 20", "10 melt n1 20 0", "-1 kill n1 20 0",
                           "10 kill n1 20 0 0", "10 cut n1 20 0", "10 kill n1>n2 20 0"}) {
    CHECK_FALSE(parsePlan(std::string("# two\n10 kill n1 20 0\n") + line, error));
    CHECK(error == std::string("line 3: ") + line);
  }
}

TEST_CASE("faults begin and end in order of time, each once") {
  std::string error, told;
  const FaultPlan plan = *parsePlan("seed 3\n10 kill n1 100 0\n20 slow a 30 5\n60 stop n2 5 0\n", error);
  PlanPlayer player(
      plan, [&](const Fault& f) { told += "+" + f.target; }, [&](const Fault& f) { told += "-" + f.target; });
  player.turn(5);
  CHECK(told == "");
  player.turn(20);
  CHECK(told == "+n1+a");
  player.turn(64);
  CHECK(told == "+n1+a-a+n2");
  CHECK_FALSE(player.over());
  player.turn(1000);
  CHECK(told == "+n1+a-a+n2-n2-n1");
  CHECK(player.over());
}

TEST_CASE("a failing plan is shortened to the faults that it needs") {
  const FaultPlan plan = drawPlan(5, wide());
  REQUIRE(plan.faults.size() >= 8);
  int asked = 0;
  for (std::size_t first = 0; first < plan.faults.size(); ++first)
    for (std::size_t second = first; second < plan.faults.size(); ++second) {
      const auto fails = [&](const FaultPlan& p) {
        ++asked;
        const auto has = [&p](const Fault& f) { return std::count(p.faults.begin(), p.faults.end(), f) > 0; };
        return has(plan.faults[first]) && has(plan.faults[second]);
      };
      const FaultPlan least = shorten(plan, fails);
      CHECK(least.faults.size() == (first == second ? 1 : 2));
      CHECK(fails(least));
    }
  CHECK(asked < 40 * 78);
  CHECK(shorten(plan, [](const FaultPlan&) { return false; }) == plan);
  CHECK(shorten(plan, [](const FaultPlan&) { return true; }).faults.empty());
}
