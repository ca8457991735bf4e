// The auditor's rules with a slack of their own, or over two processes.
#include <doctest/doctest.h>

#include "lab/auditor.h"
#include "lab/auditor_processes.h"
#include "tests/auditor_story.h"

using namespace myrtleloft;
using namespace myrtleloft::lab;

namespace {

AuditRules rules() {
  AuditRules rules;
  rules.classes = {{"any", {Idempotency::kIdempotent}}};
  return rules;
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

TEST_CASE("two processes that tell the platform different ends of a message are found") {
  for (const int second : {0, 1}) {
    Story s;
    s.taken("any").notice(100);
    s.add({.atMs = 200, .saw = Saw::kNotice, .relay = "n2", .id = "m", .status = second});
    CHECK(audit(rules(), s).size() == (second == 0 ? 0U : 1U));
  }
}
