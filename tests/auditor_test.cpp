// The auditor against histories that are right, and against the same ones with one rule broken once: it must
// find that break, say its rule and its line, and find no other.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "lab/auditor.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/auditor_story.h"

using namespace myrtleloft;
using namespace myrtleloft::lab;

namespace {

AuditRules rules() {
  AuditRules r;
  r.classes = {{"any", {Idempotency::kIdempotent}},
               {"keyed", {Idempotency::kIdempotentWithKey, true, 5000}},
               {"once", {Idempotency::kNonIdempotent}}};
  return r;
}

void good(const FleetHistory& history) {
  const std::vector<AuditFinding> findings = audit(rules(), history);
  CHECK_MESSAGE(findings.empty(), toldOf(findings, history));
}

// `last`: the line that shows the break.
void broken(const FleetHistory& history, Rule rule, std::size_t last, const std::string& id = "m") {
  const std::vector<AuditFinding> findings = audit(rules(), history);
  INFO(toldOf(findings, history));
  REQUIRE(findings.size() == 1);
  CHECK(std::string(nameOf(findings[0].rule)) == nameOf(rule));
  CHECK(findings[0].id == id);
  CHECK(findings[0].lines.back() == last);
}

}  // namespace

TEST_CASE("each message taken on has its end in time") {
  good(Story().taken("any").call(30, "a", 1).answer(40, "a", 1, 200).watchedTo(60000));
  good(Story().taken("any").call(30, "a", 1).answer(40, "a", 1, 500).notice(10300).watchedTo(60000));
  good(Story().taken("any").call(10000, "a", 1).answer(10010, "a", 1, 410).watchedTo(60000));
  good(Story().taken("any").watchedTo(10200));  // not due yet
  good(Story().handed(0, "m", "any").client(400, Saw::kLeft, "m").watchedTo(60000));
  broken(Story().taken("any").watchedTo(60000), Rule::kLost, 1);
  broken(Story().taken("any").notice(10301).watchedTo(60000), Rule::kLost, 2);
  broken(Story().taken("any").call(30, "a", 1).answer(40, "a", 1, 500).watchedTo(60000), Rule::kLost, 2);
  broken(Story().taken("any").call(9999, "a", 1).answer(10005, "a", 1, 504).watchedTo(60000), Rule::kLost, 2);
}

TEST_CASE("a restart and a lost folder excuse, and only for as long as they last") {
  const auto restarted = [](double noticeMs) {
    return Story()
        .taken("any")
        .lab(9000, Saw::kDown)
        .lab(11000, Saw::kStarted)
        .lab(12000, Saw::kReady)
        .notice(noticeMs)
        .watchedTo(60000);
  };
  good(restarted(13500));
  broken(restarted(13501), Rule::kLost, 5);
  const auto lost = [](double noticeMs) {
    return Story()
        .taken("any")
        .lab(9000, Saw::kDown)
        .lab(9000, Saw::kFolderLost)
        .notice(noticeMs, "n2")
        .watchedTo(60000);
  };
  good(lost(12000));
  broken(lost(12001), Rule::kLost, 4);
}

TEST_CASE("a client's connection ends with an answer, but for a restart") {
  good(Story().handed(0, "m", "any").lab(5, Saw::kDown).client(10, Saw::kCutOff, "m"));
  broken(Story().handed(0, "m", "any").client(10, Saw::kCutOff, "m"), Rule::kUnanswered, 1);
}

TEST_CASE("a call is one that a client handed in, at an endpoint of its destination") {
  broken(Story().taken("any").call(30, "a", 1, "n1", "other").call(31, "a", 2).answer(40, "a", 2, 200),
         Rule::kStranger, 2, "other");
  broken(Story().taken("any").call(30, "a", 1, "n1", "m", "k2").answer(40, "a", 1, 200), Rule::kStranger, 2);
  broken(Story().taken("any").call(30, "x", 1).answer(40, "x", 1, 200), Rule::kOtherDestination, 2);
}

TEST_CASE("what runs once is not called again, unless each call is proven harmless") {
  const auto twice = [](int status) {
    return Story()
        .taken("once")
        .call(30, "a", 1)
        .answer(40, "a", 1, status)
        .call(50, "b", 2)
        .answer(60, "b", 2, 200);
  };
  good(twice(503));
  good(twice(429));
  good(twice(504));
  broken(twice(500), Rule::kOnceTwice, 4);
  broken(
      Story().taken("once").call(30, "a", 1).broke(40, "a", 1).call(50, "b", 2, "n2").answer(60, "b", 2, 200),
      Rule::kOnceTwice, 4);
}

TEST_CASE("keyed repeats stay in their group and window") {
  const auto again = [](const std::string& endpoint, double atMs) {
    return Story()
        .taken("keyed")
        .call(30, "a", 1)
        .broke(40, "a", 1)
        .call(atMs, endpoint, 2)
        .answer(atMs + 10, endpoint, 2, 200);
  };
  good(again("c", 5030));
  broken(again("c", 5031), Rule::kKeyedOutside, 4);
  broken(again("b", 100), Rule::kKeyedOutside, 4);
  good(Story()
           .taken("keyed")
           .call(30, "a", 1)
           .answer(40, "a", 1, 503)
           .call(9000, "b", 2)
           .answer(9010, "b", 2, 200));
}

TEST_CASE("one call of a message is out at a time") {
  good(Story().taken("any").call(30, "a", 1).broke(50, "a", 1).call(50, "b", 2).answer(60, "b", 2, 200));
  broken(
      Story().taken("any").call(30, "a", 1).call(50, "b", 2, "n2").broke(55, "a", 1).answer(60, "b", 2, 200),
      Rule::kTwoOut, 3);
}

TEST_CASE("what drains is called no more") {
  const auto drains = [](double atMs) {
    return Story().taken("any").told(100, "a", 0).call(atMs, "a", 1).answer(atMs + 1, "a", 1, 200);
  };
  good(drains(2150));
  broken(drains(2151), Rule::kDrained, 3);
  good(Story().taken("any").told(100, "a", 0).told(200, "a", 1).call(5000, "a", 1).answer(5001, "a", 1, 200));
  good(Story().taken("any").told(100, "a", 0).call(5000, "a", 1, "n2").answer(5001, "a", 1, 200, 0, "n2"));
}

TEST_CASE("told waits are heeded, until a restart") {
  const auto waits = [](double atMs, const std::string& endpoint, bool restarts) {
    Story s;
    s.taken("any").call(30, "a", 1).answer(1000, "a", 1, 429, 3000);
    if (restarts) s.lab(1500, Saw::kDown).lab(1600, Saw::kStarted);
    s.call(atMs, endpoint, 2).answer(atMs + 1, endpoint, 2, 200);
    return s;
  };
  good(waits(1100, "a", false));
  good(waits(4000, "a", false));
  good(waits(2000, "b", false));
  good(waits(2000, "a", true));
  broken(waits(1101, "a", false), Rule::kWaitBroken, 4);
  broken(waits(3999, "a", false), Rule::kWaitBroken, 4);
  // Of two, the one that ends later binds.
  broken(Story()
             .taken("any")
             .call(30, "a", 1)
             .answer(1000, "a", 1, 429, 3000)
             .call(1050, "a", 2)
             .answer(1060, "a", 2, 429, 500)
             .call(2000, "a", 3)
             .answer(2001, "a", 3, 200),
         Rule::kWaitBroken, 6);
  AuditRules shared = rules();
  shared.routesApart = false;
  const Story other = waits(2000, "b", false);
  REQUIRE(audit(shared, other).size() == 1);
  CHECK(audit(shared, other)[0].rule == Rule::kWaitBroken);
}

TEST_CASE("a cold endpoint is not overrun by those who knew") {
  good(coldReturn(53, {"n1", "n2"}));
  good(coldReturn(80, {}));
  good(coldReturn(80, {"n1"}));  // half of them came from one who knew
  const Story over = coldReturn(54, {"n1", "n2"});
  broken(over, Rule::kColdOverrun, over.records.size() - 2, "");
  AuditRules lenient = rules();
  lenient.shortOutageMs = 991;  // it was out for 990 ms
  CHECK(audit(lenient, over).empty());
}

TEST_CASE("nothing is sent after the end is known") {
  const auto delivered = [](double againMs) {
    return Story()
        .taken("any")
        .call(30, "a", 1)
        .answer(40, "a", 1, 200)
        .call(againMs, "a", 2)
        .answer(againMs + 1, "a", 2, 200);
  };
  good(delivered(90));
  broken(delivered(91), Rule::kAfterEnd, 4);
  good(Story()
           .taken("any")
           .call(30, "a", 1)
           .answer(40, "a", 1, 200)
           .broke(41, "a", 1)
           .call(500, "a", 2)
           .answer(501, "a", 2, 200));  // it may not have read it
  good(Story()
           .taken("any")
           .call(30, "a", 1)
           .answer(40, "a", 1, 200)
           .lab(45, Saw::kDown)
           .lab(50, Saw::kStarted)
           .call(500, "a", 2)
           .answer(501, "a", 2, 200));
  broken(Story().taken("any").notice(100, "n2").call(151, "a", 1).answer(160, "a", 1, 200), Rule::kAfterEnd,
         3);
}

TEST_CASE("a fail-fast is never followed by a call of that id, nor comes after one") {
  good(Story().handed(0, "m", "any").client(10, Saw::kRefused, "m").watchedTo(60000));
  broken(
      Story().handed(0, "m", "any").client(10, Saw::kRefused, "m").call(30, "a", 1).answer(40, "a", 1, 200),
      Rule::kAfterRefusal, 2);
  broken(Story().handed(0, "m", "any").call(5, "a", 1).client(10, Saw::kRefused, "m").answer(40, "a", 1, 200),
         Rule::kAfterRefusal, 2);
}
