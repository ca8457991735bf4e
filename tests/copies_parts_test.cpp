// Unit tests of Replica, Ledger, Takeover and the placement functions.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "copies/holder.h"
#include "copies/ledger.h"
#include "copies/placement.h"
#include "copies/takeover.h"

using namespace myrtleloft;

namespace {

const LedgerId kLedger{"a", {7, 1}, 0};
const RelayId kB{"b", 20}, kC{"c", 30};

PendingRequest request(const std::string& id) {
  PendingRequest pendingRequest;
  pendingRequest.id = id;
  pendingRequest.key = "key-" + id;
  pendingRequest.body = std::string(100, 'x');
  return pendingRequest;
}
std::string encodedRequest(const std::string& id) {
  std::string bytes;
  encode(request(id), bytes);
  return bytes;
}
CopyAck copy(Replica& replica, CopyRequest message, StoredEntries* folder = nullptr,
             std::size_t stores = 1000) {
  ReplicationStep step;
  CopyAck ack = replica.onCopy(message, step);
  for (const StoreWrite& write : step.stores) {
    if (!folder || stores-- == 0) break;
    if (write.bytes.empty())
      folder->erase(write.key);
    else
      (*folder)[write.key] = write.bytes;
  }
  return ack;
}
std::size_t readable(Replica& replica, std::uint64_t epoch) {
  ReplicationStep step;
  return replica.onFence({kLedger, epoch, ""}, step).records.size();
}

}  // namespace

TEST_CASE("a holder takes records in their order, and nothing below its fence") {
  Replica replica(20, 10000, {});
  CHECK(copy(replica, {kLedger, 1, 1, 2, true, false, {encodedRequest("m1")}}).outcome ==
        CopyOutcome::kUnknown);
  CHECK(copy(replica, {kLedger, 1, 1, 1, true, false, {encodedRequest("m1")}}).sequence == 1);
  CHECK(copy(replica, {kLedger, 1, 1, 3, true, false, {encodedRequest("m3")}}).sequence == 1);
  CHECK(copy(replica, {kLedger, 1, 1, 1, true, false, {encodedRequest("m9")}}).sequence == 1);
  CHECK(copy(replica, {kLedger, 1, 1, 2, true, false, {encodedRequest("m2")}}).sequence == 2);
  CHECK(replica.findLedgerOf("key-m2", 0) == kLedger);
  CHECK(!replica.findLedgerOf("key-m9", 0));
  CHECK(readable(replica, 3) == 2);
  const CopyAck late = copy(replica, {kLedger, 2, 1, 1, true, false, {encodedRequest("m3")}});
  CHECK(late.outcome == CopyOutcome::kRejectedByFence);
  CHECK(late.fenced == 3);
  CHECK(copy(replica, {kLedger, 3, 1, 1, true, false, {}}).outcome == CopyOutcome::kStored);
}

TEST_CASE("a full holder refuses new requests, takes what is told of those it has, and drops none") {
  Replica replica(20, 400, {});
  CHECK(copy(replica, {kLedger, 1, 1, 1, true, false, {encodedRequest("m1")}}).outcome ==
        CopyOutcome::kStored);
  CHECK(
      copy(replica, {kLedger, 1, 1, 2, true, false, {encodedRequest("m2"), encodedRequest("m3")}}).outcome ==
      CopyOutcome::kFull);
  std::string attempt;
  encode(AttemptRecord{"m1", {"e", 0, 1, 0}}, attempt);
  CHECK(copy(replica, {kLedger, 1, 1, 2, true, false, {attempt}}).outcome == CopyOutcome::kStored);
  CHECK(readable(replica, 1) == 1);
}

TEST_CASE("wherever the folder's writes are cut off, what was acknowledged is read again") {
  for (std::size_t stores = 0; stores < 12; ++stores) {
    StoredEntries folder;
    Replica replica(20, 10000, folder);
    copy(replica, {kLedger, 1, 1, 1, true, false, {encodedRequest("m1"), encodedRequest("m2")}}, &folder);
    copy(replica, {kLedger, 2, 1, 1, false, false, {encodedRequest("m1")}}, &folder);
    copy(replica, {kLedger, 2, 1, 2, true, false, {encodedRequest("m2")}}, &folder, stores);
    Replica again(20, 10000, folder);
    CAPTURE(stores);
    CHECK(readable(again, 2) == 2);
  }
}

TEST_CASE("promised is what all hold, of both ensembles while they change; a call begins only in its span") {
  LedgerState state{1, "a", {7, 1}, {kB, kC}, true};
  Ledger ledger(kLedger, state, {}, 500);
  std::size_t budget = 1 << 20;
  ReplicationStep step;
  const auto priority = [](const PendingRequest&) { return 1.0; };
  ledger.onTick(1000, priority, budget, step);
  const auto ack = [&](const RelayId& who, std::uint64_t stream, std::uint64_t sequence) {
    ledger.onCopyAck(who.name, {kLedger, 1, stream, sequence, CopyOutcome::kStored, who.life, 0});
  };
  ack(kB, 1, 1);
  CHECK(ledger.durablePosition() == 0);
  ack(kC, 2, 1);
  CHECK(ledger.durablePosition() == 1);
  CHECK(ledger.mayStartCall(1, 1499));
  CHECK(!ledger.mayStartCall(1, 1500));
  const std::uint64_t at = ledger.put(AcceptedRecord{request("m1")});
  ledger.flush(1600, step);
  ack(kB, 1, 2);
  ledger.onCopyAck("c", {kLedger, 1, 2, 2, CopyOutcome::kStored, 31, 0});  // another state folder of c
  CHECK(ledger.durablePosition() < at);
  const RelayId d{"d", 40};
  ledger.setDesiredEnsemble({kB, d});
  ledger.onTick(1700, priority, budget, step);
  CHECK(!ledger.nextChange(1700));  // d has acknowledged nothing yet
  ack(d, 3, 1);
  CHECK(!ledger.nextChange(2200));  // after a stall the replicas may have lost their folders
  const auto proposed = ledger.nextChange(1710);
  REQUIRE(proposed);
  CHECK(proposed->epoch == 2);
  CHECK(ledger.durablePosition() < at);  // c must acknowledge until the register decides
  ledger.applyDecision(*proposed);
  CHECK(ledger.durablePosition() == at);
}

TEST_CASE("an heir reads one holder to its end, and none that lost its folder") {
  Takeover takeover(kLedger, {4, "h", {9, 1}, {kB, kC}, true});
  ReplicationStep step;
  takeover.onTick(1000, step);
  CHECK(step.sends.size() == 2);
  takeover.onFenceResponse("b", {kLedger, 4, 21, true, 4, "", true, {}}, 1010, step);
  CHECK(!takeover.done());
  takeover.onFenceResponse("c", {kLedger, 4, 30, true, 4, "", false, {encodedRequest("m1")}}, 1020, step);
  CHECK(!takeover.done());
  takeover.onFenceResponse("c", {kLedger, 4, 30, true, 4, "", false, {encodedRequest("m1")}}, 1030,
                           step);  // a duplicate
  takeover.onFenceResponse("c", {kLedger, 4, 30, true, 4, "m1", true, {encodedRequest("m2")}}, 1040, step);
  CHECK(takeover.done());
  CHECK(takeover.fencedMs() == 1020);
  CHECK(takeover.requests().size() == 2);
  Takeover late(kLedger, {4, "h", {9, 1}, {kB}, true});
  late.onFenceResponse("b", {kLedger, 4, 20, false, 5, "", true, {}}, 1010, step);
  CHECK(late.superseded());
}

TEST_CASE("holders stand in other buildings first, share by room, and stay when another relay goes") {
  std::vector<Candidate> all;
  for (int i = 0; i < 9; ++i)
    all.push_back(
        {{"n" + std::to_string(i), 1}, std::string(1, static_cast<char>('x' + i % 3)), i == 8 ? 3.0 : 1.0});
  std::map<std::string, int> chosen;
  int moved = 0;
  for (std::uint32_t slot = 0; slot < 600; ++slot) {
    const LedgerId id{"o", {1, 1}, slot};
    const auto replicas = chooseReplicas(id, "x", all, 2);
    REQUIRE(replicas.size() == 2);
    std::set<std::string> buildings;
    for (const RelayId& h : replicas) {
      ++chosen[h.name];
      for (const Candidate& c : all)
        if (c.relay == h) buildings.insert(c.building);
    }
    CHECK(buildings == std::set<std::string>{"y", "z"});
    auto fewer = all;
    fewer.erase(fewer.begin() + 1);
    const auto then = chooseReplicas(id, "x", fewer, 2);
    const bool had = std::find(replicas.begin(), replicas.end(), all[1].relay) != replicas.end();
    if (!had) moved += then == replicas ? 0 : 1;
  }
  CHECK(moved == 0);
  CHECK(chosen["n8"] > 2 * chosen["n2"]);
  CHECK(chooseReplicas({"o", {1, 1}, 0}, "x", {all[0], all[3]}, 2).size() ==
        2);  // same building if no other is available
}
