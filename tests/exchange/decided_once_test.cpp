// A request is decided once, whichever of its deciders comes first: the sync of its journal record, the
// decision module, its client's disconnect, the end of the process. Manual clocks, a disk in memory.
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

#include "tests/exchange/given_up_requests.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

// Guards against a 202 for a request that the journal has as completed: nobody owes it any more. A record
// that fails later makes the journal rest beyond the first retry of the rejections, and not up to the next.
TEST_CASE("process ends: whoever is answered 202 is pending in the journal") {
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

// What a step does to a request in one phase: the phase after it, and whether it was the one that decided.
struct Cell {
  RequestPhase after;
  bool decides;
};
using Step = bool (*)(RequestTable&, OpenRequest&);

void checkStep(Step step, const std::array<Cell, 4>& cells) {
  for (std::size_t i = 0; i < kPhases.size(); ++i) {
    Counters counters;
    RequestTable table(counters);
    OpenRequest& request = table.add("m", kPhases[i]);
    CAPTURE(i);
    CHECK(step(table, request) == cells[i].decides);
    CHECK(request.phase() == cells[i].after);
    CHECK(counters.decidedBefore == (cells[i].decides ? 0 : 1));
    CHECK(table.undecided() == (request.isUndecided() ? 1 : 0));
    CHECK_FALSE(step(table, request));  // no step is made twice
    CHECK(table.undecided() == (request.isUndecided() ? 1 : 0));
    table.erase("m");
    CHECK(table.undecided() == 0);
    table.erase("m");
    CHECK(table.undecided() == 0);
  }
}

}  // namespace

// Guards against two parts that both decide a request: each cell of phases and steps.
TEST_CASE("a step is made once, by the first part that decides") {
  using enum RequestPhase;
  SUBCASE("the sync covers its record") {
    checkStep([](RequestTable& table, OpenRequest& request) { return table.accept(request); },
              {{{kAccepted, true}, {kAccepted, false}, {kRejected, false}, {kGivenUp, false}}});
  }
  SUBCASE("the sync fails") {
    checkStep([](RequestTable& table, OpenRequest& request) { return table.reject(request); },
              {{{kRejected, true}, {kAccepted, false}, {kRejected, false}, {kGivenUp, false}}});
  }
  SUBCASE("the decision module gives it up") {
    checkStep([](RequestTable& table, OpenRequest& request) { return table.giveUp(request).has_value(); },
              {{{kRejected, true}, {kGivenUp, true}, {kRejected, false}, {kGivenUp, false}}});
  }
}
