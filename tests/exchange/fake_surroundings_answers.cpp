// The fake endpoints' answers and their times.
#include <algorithm>

#include "tests/exchange/fake_surroundings.h"

namespace myrtleloft::testing {
namespace {

using lab::Hub;

// Builds the body of an answer to a bulk call, with one state for each id.
class BulkBody {
 public:
  void add(const std::string& id, const std::string& state) {
    text_ +=
        std::string(text_.size() > 1 ? "," : "") + R"({"id":")" + id + R"(","state":")" + state + R"("})";
  }
  std::string text() const { return text_ + "]"; }

 private:
  std::string text_ = "[";
};

}  // namespace

void FakeSurroundings::scheduleAnswer(FakeEndpoint& endpoint, const Arrival& call) {
  const int draw = below(100);
  const double delayMs = draw < 60 ? 5 + below(200) : 5 + below(30);
  const bool isSilent = draw >= 92 && draw < 95;
  if (isSilent) return;
  answers_.emplace(clock_.nowMs + delayMs, [this, &endpoint, call, draw] { answer(endpoint, call, draw); });
}

void FakeSurroundings::answer(FakeEndpoint& endpoint, const Arrival& call, int draw) {
  const Hub::Id from = call.connection;
  if (!hub.open(from)) return;
  inFlight_.erase(from);
  if (draw < 60) return answerSuccess(call);
  if (draw < 68) {
    setOutcomes(call, true, false);
    return send(call, "500 No");
  }
  if (draw < 76) {
    setOutcomes(call, false, false);
    return send(call, "503 No");
  }
  if (draw < 82) return answerRetryAfter(endpoint, call);
  if (draw < 87) {
    setOutcomes(call, true, false);
    return hub.close(from, true);
  }
  if (draw < 90) {  // a malformed or an incomplete answer
    setOutcomes(call, true, false);
    return hub.send(from, draw == 87 ? "garbage\r\n\r\n" : "HTTP/1.1 503 No\r\nContent-Length: 9");
  }
  if (draw < 92) {
    setOutcomes(call, false, false);
    return send(call, draw == 90 ? "504 No" : "413 No");
  }
  if (draw < 97) return rejectAndClose(call, draw == 95);
  answerGone(call);
}

void FakeSurroundings::answerSuccess(const Arrival& call) {
  if (!call.isBulk) {
    setOutcomes(call, true, true);
    return send(call, "200 OK");
  }
  BulkBody body;
  for (const std::string& id : call.ids) {
    const int draw = below(10);
    setOutcome(id, call.connection, draw <= 7, draw < 7);
    const char* const failure = draw == 7 ? "fault" : "deferred";
    body.add(id, draw < 7 ? "accepted" : failure);
  }
  send(call, "200 OK", body.text());
}

void FakeSurroundings::answerRetryAfter(FakeEndpoint& endpoint, const Arrival& call) {
  setOutcomes(call, false, false);
  const int waitMs = 200 + below(800);
  endpoint.retryAfterFromMs = clock_.nowMs;
  endpoint.retryAfterUntilMs = clock_.nowMs + std::min(waitMs, 1000);
  send(call, "429 No\r\nRetry-After: " + (waitMs >= 1000 ? "1.000" : "0." + std::to_string(waitMs)));
}

// Rejects the call and closes its connection up to 400 ms later; with `announced` the answer says so in a
// Connection header.
void FakeSurroundings::rejectAndClose(const Arrival& call, bool announced) {
  setOutcomes(call, false, false);
  const Hub::Id from = call.connection;
  answers_.emplace(clock_.nowMs + below(400), [this, from] {
    if (!hub.open(from)) return;
    onClosed(from);
    hub.close(from, true);
  });
  send(call, announced ? "503 No\r\nConnection: close" : "503 No");
}

void FakeSurroundings::answerGone(const Arrival& call) {
  setOutcomes(call, false, false);
  BulkBody body;
  for (const std::string& id : call.ids) {
    body.add(id, "expired");
    if (hub.gone(call.connection)) continue;
    requests.at(id).goneMs = clock_.nowMs;
    complete(requests.at(id));
  }
  if (call.isBulk) return send(call, "200 OK", body.text());
  send(call, "410 No");
}

// `head`: the status line after the HTTP version, and further headers.
void FakeSurroundings::send(const Arrival& call, const std::string& head, const std::string& body) {
  hub.send(call.connection,
           "HTTP/1.1 " + head + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void FakeSurroundings::setOutcomes(const Arrival& call, bool mayBeExecuted, bool delivered) {
  for (const std::string& id : call.ids) setOutcome(id, call.connection, mayBeExecuted, delivered);
}

void FakeSurroundings::setOutcome(const std::string& id, Hub::Id from, bool mayBeExecuted, bool delivered) {
  DrawnRequest& request = requests.at(id);
  for (ReceivedCall& call : request.calls) {
    if (!call.pending || call.connection != from) continue;
    call.pending = false;
    call.mayBeExecuted = mayBeExecuted;
  }
  if (!delivered || hub.gone(from)) return;
  request.delivered = true;
  complete(request);
}

}  // namespace myrtleloft::testing
