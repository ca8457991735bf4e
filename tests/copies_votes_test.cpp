// Tests that a response of a superseded folder generation is not counted, in the message order in which it
// would cause two decisions, and that malformed messages are rejected.
#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "copies/planted.h"
#include "copies/proposer.h"
#include "copies/voter.h"

using namespace myrtleloft;

namespace {

const std::vector<std::string> kAll{"a", "b", "c"};
const LedgerId kLedger{"a", {7, 1}, 0};

struct Trio {
  std::map<std::string, Acceptor> acceptors;

  void start(const std::string& name, std::uint64_t life) {
    std::vector<std::string> others;
    for (const std::string& other : kAll)
      if (other != name) others.push_back(other);
    ReplicationStep step;
    acceptors.insert_or_assign(name, Acceptor({name, life, others}, {}, step));
  }

  // Delivers all join messages until none is pending.
  void join() {
    for (double now = 0; now < 3000; now += 1000)
      for (const std::string& name : kAll) {
        ReplicationStep step;
        acceptors.at(name).onTick(now + 1e6, step);
        deliver(name, step);
      }
  }
  void deliver(const std::string& from, ReplicationStep& step) {
    for (const OutgoingMessage& send : step.sends) {
      ReplicationStep next;
      AcceptorRequest request;
      AcceptorResponse response;
      if (send.kind == FleetKind::kVoteAsk && decode(send.payload, request)) {
        if (auto answer = acceptors.at(send.to).onRequest(from, request, next))
          next.sends.push_back({from, FleetKind::kVote, encode(*answer)});
      } else if (decode(send.payload, response)) {
        acceptors.at(send.to).onResponse(from, response, next);
      }
      deliver(send.to, next);
    }
  }
  AcceptorResponse response(const std::string& name, const ReplicationStep& sent) {
    for (const OutgoingMessage& send : sent.sends) {
      AcceptorRequest request;
      ReplicationStep step;
      if (send.to == name && decode(send.payload, request))
        return *acceptors.at(name).onRequest("p", request, step);
    }
    FAIL("not asked");
    return {};
  }
};

LedgerState desiredBy(const std::string& owner) { return {1, owner, {9, 1}, {}, true}; }

// Whether two proposers decide different values for epoch 1.
bool decidedTwice() {
  Trio trio;
  for (const std::string& name : kAll) trio.start(name, 100 + name[0]);
  trio.join();
  for (const auto& [name, acceptor] : trio.acceptors) CHECK(acceptor.isActive());

  Proposer low(kLedger, kAll), high(kLedger, kAll);
  ReplicationStep lowPrepares, lowAccepts, highPrepares, highAccepts, last;
  low.change({}, desiredBy("low"), 0, 1, lowPrepares);
  low.onResponse("a", trio.response("a", lowPrepares), 0, 0, lowAccepts);
  low.onResponse("c", trio.response("c", lowPrepares), 0, 0, lowAccepts);
  high.change({}, desiredBy("high"), 0, 2, highPrepares);
  const AcceptorResponse staleResponse = trio.response("a", highPrepares);
  trio.start("a", 999);
  CHECK(!trio.acceptors.at("a").isActive());
  trio.join();
  CHECK(trio.acceptors.at("a").isActive());
  high.onResponse("a", staleResponse, 0, 0, highAccepts);
  high.onResponse("b", trio.response("b", highPrepares), 0, 0, highAccepts);
  low.onResponse("a", trio.response("a", lowAccepts), 0, 0, last);
  low.onResponse("c", trio.response("c", lowAccepts), 0, 0, last);
  CHECK(low.decided() == desiredBy("low"));
  if (highAccepts.sends.empty()) return false;  // still preparing: the old response was not counted
  high.onResponse("b", trio.response("b", highAccepts), 0, 0, last);
  high.onResponse("c", trio.response("c", highAccepts), 0, 0, last);
  return high.decided() == desiredBy("high");
}

}  // namespace

TEST_CASE("a vote of a life that is over does not count beside one that knows it") {
  CHECK(!decidedTwice());
  injectedBug = InjectedBug::kStaleGenerationsCount;
  CHECK(decidedTwice());
  injectedBug = InjectedBug::kNone;
}

TEST_CASE("a change compares what was decided, and not the epoch alone") {
  const auto changed = [] {
    Trio trio;
    for (const std::string& name : kAll) trio.start(name, 100 + name[0]);
    trio.join();
    Proposer first(kLedger, kAll), second(kLedger, kAll);
    const auto decide = [&](Proposer& p, ReplicationStep step) {
      for (ReplicationStep next; p.busy(); step = std::exchange(next, {}))
        for (const std::string name : {"a", "b"}) p.onResponse(name, trio.response(name, step), 0, 0, next);
      return *p.decided();
    };
    ReplicationStep requests, later;
    first.change({}, desiredBy("x"), 0, 1, requests);
    CHECK(decide(first, requests) == desiredBy("x"));
    LedgerState next = desiredBy("y");  // also proposed for epoch 1, and possibly accepted by an acceptor
    ++next.epoch;
    second.change(desiredBy("y"), next, 0, 2, later);
    if (decide(second, later) == desiredBy("x")) return false;
    return true;
  };
  CHECK(!changed());
  injectedBug = InjectedBug::kOnlyEpochCompared;
  CHECK(changed());
  injectedBug = InjectedBug::kNone;
}

TEST_CASE("what is out of bounds is refused, cut off or not") {
  CopyRequest copy{kLedger, 4, 1, 2, false, false, {}};
  PendingRequest pendingRequest;
  pendingRequest.id = "m1";
  encode(pendingRequest, copy.records.emplace_back());
  const std::string good = encode(copy);
  CopyRequest read;
  REQUIRE(decode(good, read));
  CHECK(read.records == copy.records);
  for (std::size_t size = 0; size < good.size(); ++size) CHECK(!decode(good.substr(0, size), read));
  CHECK(!decode(good + "x", read));
  copy.records.push_back("no record");
  CHECK(!decode(encode(copy), read));

  AcceptorRequest request;
  request.ledger = kLedger;
  request.ballot = {1, 2};
  AcceptorRequest decodedRequest;
  CHECK(decode(encode(request), decodedRequest));
  request.value = desiredBy("a");
  CHECK(!decode(encode(request), decodedRequest));  // only accept requests have a value
  request.phase = RequestPhase::kAccept;
  CHECK(decode(encode(request), decodedRequest));
  request.value.ensemble.assign(kMaxReplicas + 1, {"b", 3});
  CHECK(!decode(encode(request), decodedRequest));
  request.value.ensemble.assign(1, {std::string(kMaxNameBytes + 1, 'b'), 3});
  CHECK(!decode(encode(request), decodedRequest));
  FenceResponse fenced{kLedger, 3, 9, true, 3, "", true, {}};
  FenceResponse decodedFence;
  CHECK(decode(encode(fenced), decodedFence));
  encode(CompletedRecord{"m1"}, fenced.records.emplace_back());
  CHECK(!decode(encode(fenced), decodedFence));  // only AcceptedRecords are valid here
}
