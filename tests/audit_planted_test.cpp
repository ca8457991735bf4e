// One of three relays has a deliberate difference; each kind must be found and reported as what it is.
#include <doctest/doctest.h>

#include "lab/module_site.h"
#include "tests/audit_fleet.h"

using namespace myrtleloft;
using myrtleloft::testing::AuditFleet;

namespace myrtleloft {
extern "C" DecisionModule* auditVariant_constant(const Settings& settings);
extern "C" DecisionModule* auditVariant_floats(const Settings& settings);
}  // namespace myrtleloft

namespace {

// Handles the endpoints of the list in reverse order.
class ReversedEndpoints : public DecisionModule {
 public:
  explicit ReversedEndpoints(const Settings& settings) : module_(settings) {}
  std::vector<Action> onBatch(double nowMs, const std::vector<Event>& events) override {
    std::vector<Event> reversed = events;
    for (Event& e : reversed)
      if (auto* list = std::get_if<EndpointListEvent>(&e))
        std::reverse(list->entries.begin(), list->entries.end());
    return module_.onBatch(nowMs, reversed);
  }

 private:
  Dispatcher module_;
};

struct Relay {
  std::string stamp = "stamp";
  Settings settings = lab::moduleSettings(1);
  OperatorFile rules;
  std::int64_t rev = 1;
  ModuleFactory make = makeOwnModule;
};

class Site {
 public:
  explicit Site(std::size_t stepsPerSecond = 600) : fleet(3, {4, 4}, AuditTuning(), stepsPerSecond) {
    for (const std::string& name : fleet.names()) relays[name];
  }
  void start() {
    for (const std::string& name : fleet.names()) begin(name, true);
  }
  void begin(const std::string& name, bool restart) {
    const Relay& r = relays[name];
    EndpointTable set;
    std::vector<EndpointRecord> endpoints;
    for (int e = 0; e < 6; ++e) {
      EndpointRecord& one = endpoints.emplace_back();
      one.info = {"e" + std::to_string(e),
                  e % 2,
                  0,
                  e / 3,
                  EndpointState::kRunning,
                  static_cast<double>(4 + (e == 0 ? r.rev : 0))};
      one.address = *parseAddress("10.0.0.1:80");
    }
    set.apply({r.rev, true, endpoints}, ListUpdateKind::kSnapshot, 0);
    const RulesVersion version = rulesVersion(r.stamp, r.settings, r.rules, set.all());
    std::vector<std::unique_ptr<CaseFamily>> families;
    families.push_back(std::make_unique<ModuleCases>(r.settings, set.all(), r.make));
    const auto cases = std::make_shared<CaseSet>(version.digest(), std::move(families));
    if (restart)
      fleet.start(name, version, r.rev, cases);
    else
      fleet.setRules(name, version, r.rev, cases);
    fleet.at(name).enableWindowReplay(r.settings, r.make);
  }
  // n1 and n2 report that n3 diverges, and with which action.
  void checkDivergenceReports() {
    for (const char* by : {"n1", "n2"}) {
      const auto* divergence = fleet.find(AuditReport::Kind::kDiverged, by, "n3");
      REQUIRE(divergence);
      MESSAGE(std::string(by) << " after " << divergence->atMs / 1000 << " s: case "
                              << divergence->report.number << " step " << divergence->report.step << ", "
                              << divergence->report.difference.event << " | here "
                              << divergence->report.difference.here << " | there "
                              << divergence->report.difference.there);
      CHECK(divergence->report.family == "module");
      CHECK(divergence->report.difference.event.find("at ") == 0);
      CHECK(divergence->report.difference.here != divergence->report.difference.there);
      CHECK(fleet.at(by).verdict(fleet.nowMs, "n3") == AuditVerdict::kDiverged);
      CHECK_FALSE(fleet.at(by).divergesFromAllOthers(fleet.nowMs));
    }
    CHECK(fleet.at("n1").verdict(fleet.nowMs, "n2") == AuditVerdict::kAgree);
    CHECK(fleet.at("n3").divergesFromAllOthers(fleet.nowMs));
    // Once for each side of a pair, however long it lasts.
    CHECK(fleet.count(AuditReport::Kind::kDiverged) == 4);
  }
  // Nothing is compared, and n3 is reported as late after the time limit.
  void checkLateReports(RulesPart part, OlderVersion older) {
    CHECK_FALSE(fleet.find(AuditReport::Kind::kDiverged));
    for (const char* by : {"n1", "n2"}) {
      const auto* first = fleet.find(AuditReport::Kind::kOtherVersion, by, "n3");
      REQUIRE(first);
      CHECK(first->report.part == part);
      const auto* late = fleet.find(AuditReport::Kind::kLateVersion, by, "n3");
      REQUIRE(late);
      MESSAGE(std::string(by) << ": other after " << first->atMs / 1000 << " s, late after "
                              << late->atMs / 1000 << " s");
      CHECK(late->report.part == part);
      CHECK(late->report.forMs >= AuditTuning().lateVersionMs);
      CHECK(late->report.older == older);
      CHECK(fleet.at(by).differingPart("n3") == part);
      CHECK(fleet.at(by).verdict(fleet.nowMs, "n3") == AuditVerdict::kNotKnown);
    }
    CHECK_FALSE(fleet.find(AuditReport::Kind::kLateVersion, "n1", "n2"));
  }

  AuditFleet fleet;
  std::map<std::string, Relay> relays;
};

}  // namespace

TEST_CASE("three that are alike agree, at one message a round to each") {
  Site site;
  site.start();
  site.fleet.seconds(600);
  CHECK(site.fleet.all(AuditVerdict::kAgree));
  CHECK(site.fleet.count(AuditReport::Kind::kAgree) == 6);
  CHECK(site.fleet.reports.size() == 6);
  CHECK(site.fleet.sent <= 6 * (600 / 27 + 1));
  CHECK(site.fleet.bytes == 165 * site.fleet.sent);
}

TEST_CASE("a constant of the module that was changed") {
  Site site;
  site.relays["n3"].make = [](const Settings& s) {
    return std::unique_ptr<DecisionModule>(auditVariant_constant(s));
  };
  site.start();
  site.fleet.seconds(400);
  site.checkDivergenceReports();
}

TEST_CASE("a build with other floating-point rules") {
  Site site;
  site.relays["n3"].make = [](const Settings& s) {
    return std::unique_ptr<DecisionModule>(auditVariant_floats(s));
  };
  site.start();
  site.fleet.seconds(400);
  site.checkDivergenceReports();
}

// The module uses equal endpoints in the order in which it received them, so relays that received them in
// different orders diverge although their lists are equal.
TEST_CASE("another order of equal endpoints") {
  Site site;
  site.relays["n3"].make = [](const Settings& s) { return std::make_unique<ReversedEndpoints>(s); };
  site.start();
  site.fleet.seconds(400);
  site.checkDivergenceReports();
}

TEST_CASE("another program, as its stamp says it") {
  Site site;
  site.relays["n3"].stamp = "another";
  site.start();
  site.fleet.seconds(800);
  site.checkLateReports(RulesPart::kProgram, OlderVersion::kNotKnown);
}

TEST_CASE("one digit of the settings") {
  Site site;
  site.relays["n3"].settings.classes[2].latencyObjectiveMs = 2001;
  site.start();
  site.fleet.seconds(800);
  site.checkLateReports(RulesPart::kSettings, OlderVersion::kNotKnown);
}

TEST_CASE("one relay that missed the operator's change") {
  Site site;
  site.start();
  site.fleet.seconds(300);
  CHECK(site.fleet.all(AuditVerdict::kAgree));
  for (const char* name : {"n1", "n2"}) {
    site.relays[name].rules.endpointList.guardPercent = 30;
    site.begin(name, false);
  }
  site.fleet.seconds(800);
  site.checkLateReports(RulesPart::kRules, OlderVersion::kThere);
}

TEST_CASE("a list that is a rev behind for good, while it goes on changing") {
  Site site(20);
  site.start();
  for (int round = 0; round < 20; ++round) {
    for (const std::string& name : site.fleet.names()) {
      site.relays[name].rev = round + (name == "n3" ? 1 : 2);
      site.begin(name, false);
    }
    site.fleet.seconds(45);
  }
  site.checkLateReports(RulesPart::kList, OlderVersion::kThere);
}

TEST_CASE("real traffic that another relay decides otherwise on") {
  Site site;
  site.relays["n3"].make = [](const Settings& s) {
    return std::unique_ptr<DecisionModule>(auditVariant_constant(s));
  };
  site.start();
  site.fleet.seconds(2);
  Recorder recorder(site.relays["n1"].settings, makeOwnModule);
  recorder.begin(0, {ListUpdateKind::kSnapshot, {{"e0", 0, 0, 1, EndpointState::kRunning, 9}}});
  RequestEvent e;
  e.id = "m1";
  e.destination = 1;
  e.deadlineMs = 4000;  // short enough that the changed constant determines the call's timeout
  recorder.feed(10, {e});
  const std::string window = recorder.take();
  for (int i = 0; i < 2; ++i) {  // to each peer in turn
    ConsistencyChecker::Out out;
    REQUIRE(site.fleet.at("n1").offerWindow(window, out));
    site.fleet.deliver("n1", out);
    site.fleet.seconds(60);
  }
  const auto* divergence = site.fleet.find(AuditReport::Kind::kDiverged, "n3", "n1", "traffic");
  REQUIRE(divergence);
  CHECK(divergence->report.step == 1);
  CHECK(divergence->report.difference.event.find("request m1") != std::string::npos);
  CHECK(divergence->report.difference.here.find("send m1 to e0") == 0);
  CHECK(site.fleet.at("n2").counters().windows == 1);
  CHECK_FALSE(site.fleet.find(AuditReport::Kind::kDiverged, "n2", "n1"));
}
