// An endpoint answers a call twice on a connection that stays open: the duplicate must not affect the outcome
// of the next call.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "lab/hub.h"
#include "tests/outbound_site.h"

using namespace myrtleloft;

using lab::endpointRecord, lab::Outcomes;

namespace {

constexpr double kTimeoutMs = 60000;
const std::string kDelivered = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string kRejected = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

// When the second call arrives, this endpoint first writes `copy` on the connection of the first call and
// then answers the second.
struct TwiceAnsweringEndpoint {
  void onCall(lab::Hub::Id from) {
    if (first == 0) {
      first = from;
      return hub.send(from, answer);
    }
    hub.send(first, copy);
    hub.send(from, trueAnswer);
  }

  std::string answer, copy, trueAnswer;
  lab::Hub hub{};
  lab::Hub::Id first = 0;
  Address address =
      *parseAddress(hub.listen({[this](lab::Hub::Id from, const lab::Message&) { onCall(from); }, {}, {}}));
};

// Makes two consecutive calls and returns the outcome of the second.
Outcome outcomeOfSecondCall(TwiceAnsweringEndpoint& endpoint) {
  const Clock clock;
  Loop loop(clock);
  Counters counters;
  UpstreamClient outbound(loop, counters, {kTimeoutMs, {}});
  Outcomes outcomes;
  outbound.setListener(outcomes);
  for (const char* id : {"first", "second"}) {
    const std::size_t before = outcomes.all.size();
    outbound.call(endpointRecord("twice", endpoint.address), {{id, "", "body", kTimeoutMs}});
    while (outcomes.all.size() == before) {
      endpoint.hub.turn(0);
      loop.after(1, [] {});
      loop.runOnce();
    }
  }
  CHECK(counters.connectionsOut == 2);
  return outcomes.all.back().second.outcome;
}

}  // namespace

// Guards against a call whose outcome is taken from a duplicate answer to the previous call.
TEST_CASE("a duplicate answer is not taken for the answer to the next call") {
  const std::string rateLimited = "HTTP/1.1 429 Wait\r\nRetry-After: 9.500\r\nContent-Length: 0\r\n\r\n";
  const std::string gone = "HTTP/1.1 410 Over\r\nContent-Length: 0\r\n\r\n";
  struct Scenario {
    std::string answer, copy, trueAnswer;
    Outcome expected;
  };
  const std::vector<Scenario> scenarios = {
      {kDelivered, kDelivered, kRejected, Outcome::kRejected},
      {kDelivered, kDelivered + kDelivered, kRejected, Outcome::kRejected},
      {kDelivered, kDelivered.substr(0, 17), kRejected, Outcome::kRejected},
      {kDelivered, kDelivered + "HTTP/1.1 2", kRejected, Outcome::kRejected},
      {kDelivered, "HTTP/1.1 100 Continue\r\n\r\n" + kDelivered, kRejected, Outcome::kRejected},
      {kRejected, kRejected, kDelivered, Outcome::kSuccess},
      {rateLimited, rateLimited, kDelivered, Outcome::kSuccess},
      {gone, gone, kDelivered, Outcome::kSuccess},
  };
  for (const Scenario& scenario : scenarios) {
    TwiceAnsweringEndpoint endpoint{scenario.answer, scenario.copy, scenario.trueAnswer};
    INFO("copy: ", scenario.copy);
    CHECK(outcomeOfSecondCall(endpoint) == scenario.expected);
  }
}
