// The auditor's rules with a slack of their own, or over two processes.
#include <doctest/doctest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "lab/auditor.h"
#include "lab/auditor_processes.h"
#include "lab/auditor_turns.h"
#include "tests/auditor_story.h"

using namespace myrtleloft;
using namespace myrtleloft::lab;

namespace {

AuditRules rules() {
  AuditRules rules;
  rules.classes = {{"any", {Idempotency::kIdempotent}}};
  return rules;
}

void good(const FleetHistory& history) {
  const std::vector<AuditFinding> findings = audit(rules(), history);
  CHECK_MESSAGE(findings.empty(), toldOf(findings, history));
}

// Lost, and nothing else; `last`: the line that shows it.
void lost(const FleetHistory& history, std::size_t last) {
  const std::vector<AuditFinding> findings = audit(rules(), history);
  INFO(toldOf(findings, history));
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].rule == Rule::kLost);
  CHECK(findings[0].id == "m");
  CHECK(findings[0].lines.back() == last);
}

}  // namespace

TEST_CASE("a wait that is broken inside the lab's slack counts where waits have a slack of their own") {
  AuditRules strict = rules();
  strict.slackMs = 500;
  strict.waitSlackMs = 50;
  const auto waits = [](double callMs, bool heldUp) {
    Story s;
    s.taken("any");
    if (heldUp) s.add({.atMs = 25, .saw = Saw::kTrouble, .relay = "n1", .status = kHeldUpTrouble});
    s.call(30, "a", 1).answer(1000, "a", 1, 429, 3000);
    return s.call(callMs, "a", 2).answer(callMs + 1, "a", 2, 200);
  };
  CHECK(audit(strict, waits(1150, false)).empty());
  CHECK(audit(strict, waits(1151, false)).size() == 1);
  CHECK(
      audit(strict, waits(1151, true)).empty());  // it cannot know what comes between its look and its write
}

// Guards against verdicts that a busy machine makes: the stand-ins' own turns took 30 ms each, and were held
// against the relays.
TEST_CASE("a call behind a told wait is judged by when it was at the lab's edge") {
  AuditRules strict = rules();
  strict.waitSlackMs = 50;
  strict.answerTurns = kProxiedAnswerTurns;
  strict.callTurns = kProxiedCallTurns;
  const auto waits = [](double turnMs, double callMs) {
    Story s;
    s.taken("any").call(30, "a", 1).answer(1000, "a", 1, 429, 3000);
    s.call(callMs, "a", 2).answer(callMs + 1, "a", 2, 200);
    return s.turnsOf(turnMs, 5000);
  };
  CHECK(audit(strict, waits(1, 1155)).empty());
  CHECK(audit(strict, waits(1, 1160)).size() == 1);
  CHECK(audit(strict, waits(30, 1290)).empty());
  CHECK(audit(strict, waits(30, 1350)).size() == 1);
}

// Guards against verdicts that a busy machine makes: a process that could have run had no processor.
// An endpoint answered 3 ms after its relay had given the call up and gone, which the proxy between them had
// not seen yet.
TEST_CASE("a wait binds no relay that had ended its call before the answer could reach it") {
  AuditRules strict = rules();
  strict.waitSlackMs = 50;
  strict.answerTurns = kProxiedAnswerTurns;
  const auto waits = [](double endMs) {
    return Story()
        .taken("any")
        .call(100, "a", 1)
        .answer(204, "a", 1, 429, 1000)
        .broke(endMs, "a", 1)
        .call(500, "a", 2)
        .answer(510, "a", 2, 200)
        .turnsOf(10, 60000);
  };
  const Story before = waits(219), behind = waits(221);
  CHECK(toldOf(audit(strict, before), before).empty());
  CHECK(audit(strict, behind).size() == 1);
  strict.answerTurns = 0;  // no proxy: the answer reaches the relay in its own turn
  CHECK(audit(strict, before).size() == 1);
}

TEST_CASE(
    "time without a processor excuses a call behind a told wait, and a late status behind the deadline") {
  AuditRules strict = rules();
  strict.waitSlackMs = 50;
  const auto waits = [](double starvedToMs, double callMs) {
    Story s;
    s.taken("any").call(30, "a", 1).answer(1000, "a", 1, 429, 3000);
    s.lab(starvedToMs, Saw::kStarved, "n1", 80);
    return s.call(callMs, "a", 2).answer(callMs + 1, "a", 2, 200);
  };
  CHECK(audit(strict, waits(1100, 1230)).empty());
  CHECK(audit(strict, waits(1100, 1231)).size() == 1);
  CHECK(audit(strict, waits(1000, 1151)).size() == 1);  // before the wait was told
  const auto late = [](double starvedToMs, double noticeMs) {
    return Story().taken("any").lab(starvedToMs, Saw::kStarved, "n1", 80).notice(noticeMs).watchedTo(60000);
  };
  good(late(10200, 10380));
  lost(late(10200, 10381), 3);
  lost(late(10000, 10301), 3);  // before the deadline
}

TEST_CASE("the end of a call may be seen two turns of the lab after the next one's beginning") {
  AuditRules strict = rules();
  strict.orderTurns = kProxiedOrderTurns;
  const auto repeated = [](double turnMs, double endMs) {
    Story s;
    s.taken("any").call(30, "a", 1).call(1000, "b", 2).lab(endMs, Saw::kEnded);
    s.records.back().id = "m";
    s.records.back().call = 1;
    return s.answer(endMs + 1, "b", 2, 200).turnsOf(turnMs, 5000);
  };
  CHECK(audit(strict, repeated(1, 1002)).empty());
  CHECK(audit(strict, repeated(1, 1004)).size() == 1);
  CHECK(audit(strict, repeated(40, 1119)).empty());
  CHECK(audit(strict, repeated(40, 1121)).size() == 1);
}

TEST_CASE("a call that was at the lab's edge before its notification was noted is none after the end") {
  AuditRules strict = rules();
  strict.callTurns = kProxiedCallTurns;
  const auto called = [](double turnMs, double callMs) {
    return Story().taken("any").notice(1000).call(callMs, "a", 1).turnsOf(turnMs, 5000);
  };
  CHECK(audit(strict, called(1, 1054)).empty());
  CHECK(audit(strict, called(1, 1056)).size() == 1);
  CHECK(audit(strict, called(40, 1220)).empty());
  CHECK(audit(strict, called(40, 1240)).size() == 1);
}

TEST_CASE("a notification is on time that was at the lab's edge in time") {
  const auto notified = [](double turnMs, double noticeMs) {
    return Story().taken("any").notice(noticeMs).watchedTo(60000).turnsOf(turnMs, 60000);
  };
  good(notified(1, 10302));
  lost(notified(1, 10303), 2);
  good(notified(40, 10395));
  lost(notified(40, 10405), 2);
}

TEST_CASE("two processes that tell the platform different ends of a message are found") {
  for (const int second : {0, 1}) {
    Story s;
    s.taken("any").notice(100);
    s.add({.atMs = 200, .saw = Saw::kNotice, .relay = "n2", .id = "m", .status = second});
    CHECK(audit(rules(), s).size() == (second == 0 ? 0U : 1U));
  }
}

TEST_CASE("a stop and a stall excuse a late status only where they lie over the deadline or behind it") {
  const auto stopped = [](double fromMs, double toMs, double noticeMs, const std::string& relay) {
    return Story()
        .taken("any")
        .lab(fromMs, Saw::kStopped, relay)
        .lab(toMs, Saw::kContinued, relay)
        .notice(noticeMs)
        .watchedTo(60000);
  };
  // A stop before the deadline is no reason for a late status; one over it, or behind it, is.
  good(stopped(5000, 8000, 10300, "n1"));
  lost(stopped(5000, 8000, 10301, "n1"), 4);
  good(stopped(9000, 12000, 12300, "n1"));
  lost(stopped(9000, 12000, 12301, "n1"), 4);
  good(stopped(10200, 10900, 11000, "n1"));
  lost(stopped(10200, 10900, 11001, "n1"), 4);
  lost(stopped(9000, 12000, 12300, "n2"), 4);  // another was stopped
  // The same of a relay that the shim held up, and of the lab; that counts besides while the request is on
  // its way.
  const auto stalled = [](Saw who, const std::string& relay, double atMs, double noticeMs) {
    return Story().taken("any").lab(atMs, who, relay, 700).notice(noticeMs).watchedTo(60000);
  };
  for (const Saw who : {Saw::kStall, Saw::kHeldUp}) {
    const std::string relay = who == Saw::kStall ? "" : "n1";
    good(stalled(who, relay, 10900, 11000));
    lost(stalled(who, relay, 10900, 11001), 3);
    lost(stalled(who, relay, 9500, 10301), 3);
  }
  lost(stalled(Saw::kHeldUp, "n2", 10900, 10901), 3);
  const auto onItsWay = [](double noticeMs) {
    return Story()
        .handed(0, "m", "any")
        .lab(15, Saw::kStall, "", 10)
        .client(20, Saw::kTaken, "m")
        .notice(noticeMs)
        .watchedTo(60000);
  };
  good(onItsWay(10310));
  lost(onItsWay(10311), 3);
}
