// A request is decided exactly once, whichever comes first: the sync of its journal record, the decision
// module, its client's disconnect, or the end of the process. Uses manual clocks and an in-memory disk.
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

#include "tests/exchange/given_up_requests.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

// Guards against a 202 for a request that the journal has recorded as completed, so that no process delivers
// it. The records of the requests "later-N" fail last, so that the journal's pause after a fault ends between
// the first and the second retry of the rejections.
TEST_CASE("when the process ends, each request answered 202 is pending in the journal") {
  int recordedUnanswered = 0;
  for (int endMs = 0; endMs <= 400; endMs += 20) {
    Site site(true);
    for (const char* id : {"later-0", "later-1", "later-2"}) site.submit(id, 360);
    submitAndGiveUp(site);
    site.advance(100);
    site.repairDisk();
    for (int ms = 0; ms < endMs; ms += 20) {
      site.submit("repaired-" + std::to_string(ms));
      site.advance(20);
    }
    for (const char* id : kShortLived)
      recordedUnanswered += site.answersById[id].empty() && !site.isPendingOnDisk(id) ? 1 : 0;
    site.manager->rejectWaiting();
    site.manager->answerPendingRejections();
    CAPTURE(endMs);
    for (const auto& [id, kinds] : site.answersById) {
      CAPTURE(id);
      if (kinds == Kinds{Answer::Kind::kAccepted}) CHECK(site.isPendingOnDisk(id));
    }
  }
  CHECK(recordedUnanswered > 0);
}

namespace {

constexpr std::array<RequestPhase, 4> kPhases = {RequestPhase::kUnanswered, RequestPhase::kAccepted,
                                                 RequestPhase::kRejected, RequestPhase::kGivenUp};

// Expected result of a transition in one phase: the phase after it, and whether it decided the request.
struct ExpectedResult {
  RequestPhase after;
  bool decides;
};
using Transition = bool (*)(RequestTable&, OpenRequest&);

// Applies the transition to a request in each of kPhases.
void checkTransition(Transition transition, const std::array<ExpectedResult, 4>& expected) {
  for (std::size_t i = 0; i < kPhases.size(); ++i) {
    Counters counters;
    RequestTable table(counters);
    OpenRequest& request = table.add("m", kPhases[i]);
    CAPTURE(i);
    CHECK(transition(table, request) == expected[i].decides);
    CHECK(request.phase() == expected[i].after);
    CHECK(counters.decidedBefore == (expected[i].decides ? 0 : 1));
    CHECK(table.undecided() == (request.isUndecided() ? 1 : 0));
    CHECK_FALSE(transition(table, request));  // it has no effect a second time
    CHECK(table.undecided() == (request.isUndecided() ? 1 : 0));
    table.erase("m");
    CHECK(table.undecided() == 0);
    table.erase("m");
    CHECK(table.undecided() == 0);
  }
}

}  // namespace

// Guards against two components that both decide a request. Covers all combinations of phase and transition.
TEST_CASE("each phase permits only certain transitions, and no transition takes effect twice") {
  using enum RequestPhase;
  SUBCASE("the sync covers the record of the request") {
    checkTransition([](RequestTable& table, OpenRequest& request) { return table.accept(request); },
                    {{{kAccepted, true}, {kAccepted, false}, {kRejected, false}, {kGivenUp, false}}});
  }
  SUBCASE("the sync fails") {
    checkTransition([](RequestTable& table, OpenRequest& request) { return table.reject(request); },
                    {{{kRejected, true}, {kAccepted, false}, {kRejected, false}, {kGivenUp, false}}});
  }
  SUBCASE("the decision module gives the request up") {
    checkTransition(
        [](RequestTable& table, OpenRequest& request) { return table.giveUp(request).has_value(); },
        {{{kRejected, true}, {kGivenUp, true}, {kRejected, false}, {kGivenUp, false}}});
  }
}
