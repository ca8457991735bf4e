// Calls to an endpoint that answers one of them twice on a connection that stays open: the second copy says
// nothing about the call that follows, whatever the copy claims.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "lab/hub.h"
#include "tests/outbound_site.h"

using namespace myrtleloft;

using lab::at, lab::Outcomes;

namespace {

constexpr double kCapMs = 60000;
const std::string kDelivered = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string kRejected = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

// An endpoint that writes `copy` on the first call's connection once the second call has come, and then
// answers that one.
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

// The outcome of the second of two calls, one after the other.
Outcome outcomeOfSecondCall(TwiceAnsweringEndpoint& endpoint) {
  const Clock clock;
  Loop loop(clock);
  Counters counters;
  UpstreamClient outbound(loop, counters, {kCapMs, {}});
  Outcomes outcomes;
  outbound.setListener(outcomes);
  for (const char* id : {"first", "second"}) {
    const std::size_t before = outcomes.all.size();
    outbound.call(at("twice", endpoint.address), {{id, "", "body", kCapMs}});
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

// Guards against a request that counts as delivered, never executed or to be sent again by the answer of the
// call before it on the same connection.
TEST_CASE("a second copy of an answer is not taken for the answer of the next call") {
  const std::string waits = "HTTP/1.1 429 Wait\r\nRetry-After: 9.500\r\nContent-Length: 0\r\n\r\n";
  const std::string gone = "HTTP/1.1 410 Over\r\nContent-Length: 0\r\n\r\n";
  struct Scene {
    std::string answer, copy, trueAnswer;
    Outcome wanted;
  };
  const std::vector<Scene> scenes = {
      {kDelivered, kDelivered, kRejected, Outcome::kRejected},
      {kDelivered, kDelivered + kDelivered, kRejected, Outcome::kRejected},
      {kDelivered, kDelivered.substr(0, 17), kRejected, Outcome::kRejected},
      {kDelivered, kDelivered + "HTTP/1.1 2", kRejected, Outcome::kRejected},
      {kDelivered, "HTTP/1.1 100 Continue\r\n\r\n" + kDelivered, kRejected, Outcome::kRejected},
      {kRejected, kRejected, kDelivered, Outcome::kSuccess},
      {waits, waits, kDelivered, Outcome::kSuccess},
      {gone, gone, kDelivered, Outcome::kSuccess},
  };
  for (const Scene& scene : scenes) {
    TwiceAnsweringEndpoint endpoint{scene.answer, scene.copy, scene.trueAnswer};
    INFO("copy: ", scene.copy);
    CHECK(outcomeOfSecondCall(endpoint) == scene.wanted);
  }
}
