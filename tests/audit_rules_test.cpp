// The version of the rules shows which part differs and excludes values that are specific to one relay.
#include <doctest/doctest.h>

#include "audit/rules_version.h"
#include "lab/module_site.h"

using namespace myrtleloft;

namespace {

EndpointTable listOf(std::vector<EndpointRecord> endpoints) {
  EndpointTable set;
  set.apply({1, true, std::move(endpoints)}, ListUpdateKind::kSnapshot, 1000);
  return set;
}
EndpointRecord endpoint(const std::string& uid, int zone = 0, double rating = 4) {
  EndpointRecord e;
  e.info = {uid, zone, 0, 1, EndpointState::kRunning, rating};
  e.address = *parseAddress("10.0.0.1:80");
  return e;
}

struct Site {
  std::string stamp = "stamp";
  Settings settings = lab::moduleSettings(1);
  OperatorFile rules;
  EndpointTable list = listOf({endpoint("a"), endpoint("b", 1)});
  RulesVersion version() const { return rulesVersion(stamp, settings, rules, list.all()); }
};
std::optional<RulesPart> differingPart(const Site& other) {
  return firstDifference(Site().version(), other.version());
}

}  // namespace

TEST_CASE("each part is told, the program before all that may follow from it") {
  CHECK(differingPart(Site()) == std::nullopt);
  Site other;
  other.list = listOf({endpoint("a"), endpoint("b", 1, 4.000000001)});
  CHECK(differingPart(other) == RulesPart::kList);
  other.rules.endpointList.guardPercent = 1;
  CHECK(differingPart(other) == RulesPart::kRules);
  other.settings.classes[1].idempotencyWindowMs += 1;
  CHECK(differingPart(other) == RulesPart::kSettings);
  other.stamp = "another";
  CHECK(differingPart(other) == RulesPart::kProgram);
  CHECK(nameOf(RulesPart::kProgram) == std::string("program"));
  CHECK(nameOf(RulesPart::kList) == std::string("list"));
}

TEST_CASE("what is each relay's own is in no version") {
  Site other;
  other.settings.seed = 99;
  other.settings.instanceIndex = 2;
  other.settings.zone = 1;
  other.rules.journal.segmentBytes = 4096;
  other.rules.endpointList.directories = {"10.0.0.5:8500"};
  other.rules.log.level = 3;
  std::vector<EndpointRecord> endpoints = {endpoint("b", 1), endpoint("a")};  // in a different order
  endpoints[0].address = *parseAddress("10.9.9.9:81");
  other.list = listOf(endpoints);
  CHECK(differingPart(other) == std::nullopt);
}

TEST_CASE("the order in which a file names things is no rule") {
  Site one, other;
  one.rules.endpointList.classes = {{"a", 1}, {"b", 2}};
  other.rules.endpointList.classes = {{"b", 2}, {"a", 1}};
  QuotaPlan::Node x, y;
  x.name = x.tenant = "x";
  y.name = y.tenant = "y";
  one.rules.quota.nodes = {x, y};
  other.rules.quota.nodes = {y, x};
  CHECK(one.version() == other.version());
  other.rules.quota.nodes[0].worth = {5};
  CHECK(firstDifference(one.version(), other.version()) == RulesPart::kRules);
}

TEST_CASE("a uid that came again for another destination counts as what the list says of it") {
  Site fresh, old;
  EndpointRecord moved = endpoint("a");
  moved.info.destination = 7;
  fresh.list = listOf({moved, endpoint("b", 1)});
  old.list.apply({2, true, {moved, endpoint("b", 1)}}, ListUpdateKind::kSnapshot, 2000);
  REQUIRE(old.list.findByUid("a")->info.endpoint != "a");  // the module sees it under a suffixed name
  CHECK(fresh.version() == old.version());
}

TEST_CASE("every field of the settings counts") {
  const std::string plain = canonicalSettings(Settings());
  std::vector<Settings> all(26);
  std::size_t at = 0;
  all[at++].instanceCount = 2;
  all[at++].batchIntervalMs = 1;
  all[at++].classes.emplace_back();
  all[at++].watchEndpointList = true;
  all[at++].weightDecay = WeightDecay::kHalving;
  all[at++].ratingKind = RatingKind::kRough;
  all[at++].maxConcurrentCalls = 1;
  all[at++].maxPendingRequests = 1;
  all[at++].maxAttempts = 1;
  all[at++].maxRetryAfterMs = 1;
  all[at++].connectTimeoutMs = 1;
  all[at++].connectionIdleMs = 1;
  all[at++].reusesConnections = false;
  all[at++].mayCancel = true;
  all[at++].kindHasSeparateLimits = {true};
  all[at++].kindBatchSize = {1};
  all[at++].zoneCosts = {1};
  all[at++].crossZoneCost = 1;
  all[at++].listConfirmationMs = 1;
  all[at++].listRetryMs = 1;
  all[at++].slowStartShare = 1;
  all[at++].slowStartMs = 1;
  all[at++].overloadFactor = 1;
  all[at++].overloadWindowMs = 1;
  all[at++].orderHoldAfterAmbiguityMs = 1e-9;
  all.resize(at);
  for (std::size_t i = 0; i < at; ++i) CHECK_MESSAGE(canonicalSettings(all[i]) != plain, i);
}

TEST_CASE("the build's stamp is a digest") {
  CHECK(decisionCode().size() == 64);
  CHECK(decisionCode().find_first_not_of("0123456789abcdef") == std::string_view::npos);
}
