// Calls that have not left when the list changes.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <memory>
#include <string>
#include <vector>

#include "lab/hand_clock.h"
#include "outbound/upstream_client.h"
#include "tests/outbound_site.h"

using namespace myrtleloft;

using lab::at, lab::Deaf, lab::Outcomes;

TEST_CASE("a call beyond the slots waits its turn, its cap running, and can be taken back") {
  lab::HandClock clock;
  Loop loop(clock);
  Counters counters;
  UpstreamClient outbound(loop, counters, {60000, {}, 1});
  Outcomes outcomes;
  outbound.setListener(outcomes);
  std::string error;
  const Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
  const Address address = *parseAddress(localAddress(listener));
  const auto pass = [&](double ms) {
    for (int i = 0; i < 4; ++i) {
      clock.nowMs += ms / 4;
      loop.after(0, [] {});
      loop.runOnce();
    }
  };
  for (const char* id : {"first", "second", "late", "third", "fourth"})
    outbound.call(at(id[0] == 't' ? "b" : "a", address), {{id, "", "body", id[0] == 'l' ? 100.0 : 60000.0}});
  pass(50);
  CHECK(counters.connectionsOut == 1);
  int code = 0;
  const Fd fd = acceptFrom(listener, code);
  REQUIRE(fd);
  CHECK(outcomes.all.empty());
  pass(100);
  REQUIRE(outcomes.all.size() == 1);  // its time was over while it waited: it cannot have run
  CHECK(outcomes.all[0].second.id == "late");
  CHECK(outcomes.all[0].second.outcome == Outcome::kNotSent);
  outbound.cancelUnsent([](const std::string& uid) { return uid == "b"; });
  REQUIRE(outcomes.all.size() == 2);
  CHECK(outcomes.all[1].second.id == "third");
  CHECK(outcomes.all[1].second.outcome == Outcome::kNotSent);
  // The first is answered: the next of those that are left goes, on a connection of its own.
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  std::size_t written = 0;
  REQUIRE(writeSome(fd, answer, written) == Io::kProgress);
  pass(50);
  REQUIRE(outcomes.all.size() == 3);
  CHECK(outcomes.all[2].second.id == "first");
  CHECK(outcomes.all[2].second.outcome == Outcome::kSuccess);
  pass(50);
  const Fd next = acceptFrom(listener, code);
  REQUIRE(next);
  std::string bytes;
  readSome(next, bytes);
  CHECK(bytes.find("X-Request-ID: second") != bytes.npos);
  CHECK(bytes.find("X-Request-ID: fourth") == bytes.npos);
  CHECK(outbound.pendingCalls() == 2);
}

TEST_CASE("a call whose connection is not up yet comes back when its endpoint is bound, one that left not") {
  const Clock clock;
  Loop loop(clock);
  Counters counters;
  UpstreamClient outbound(loop, counters, {60000, {}});
  Outcomes outcomes;
  outbound.setListener(outcomes);
  Deaf deaf;
  std::string error;
  const Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
  const Address up = *parseAddress(localAddress(listener));
  outbound.call(at("told", deaf.address), {{"connecting", "", "body", 60000}});
  outbound.call(at("other", deaf.address), {{"elsewhere", "", "body", 60000}});
  outbound.call(at("told", up), {{"left", "", "body", 60000}});
  int code = 0;
  Fd accepted;
  std::string bytes;
  while (bytes.find("body") == bytes.npos) {
    loop.after(1, [] {});
    loop.runOnce();
    if (!accepted) accepted = acceptFrom(listener, code);
    if (accepted) readSome(accepted, bytes);
  }
  outbound.cancelUnsent([](const std::string& uid) { return uid == "told"; });
  REQUIRE(outcomes.all.size() == 1);
  CHECK(outcomes.all[0].second.id == "connecting");
  CHECK(outcomes.all[0].second.outcome == Outcome::kNotSent);
  CHECK(outbound.pendingCalls() == 2);
}

TEST_CASE("calls that have not left come back at once when their endpoint is gone, drains or has moved") {
  const Clock clock;
  Loop loop(clock);
  Counters counters;
  UpstreamClient outbound(loop, counters, {60000, {}});
  Outcomes outcomes;
  outbound.setListener(outcomes);
  Deaf deaf;
  const Address elsewhere = parseAddress("127.0.0.1:9").value();
  const std::vector<std::string> uids = {"gone", "drains", "moved", "stays"};
  EndpointList list{1, true, {}};
  for (const std::string& uid : uids) list.endpoints.push_back(at(uid.c_str(), deaf.address));
  EndpointTable set;
  set.apply(list, ListUpdateKind::kSnapshot, 1);
  for (const std::string& uid : uids) outbound.call(*set.find(uid), {{"m-" + uid, "", "body", 60000}});
  outbound.onEndpointsChanged(set);  // nothing has changed
  CHECK(outcomes.all.empty());
  set.apply({2,
             true,
             {at("drains", deaf.address, EndpointState::kDraining), at("moved", elsewhere),
              at("stays", deaf.address)}},
            ListUpdateKind::kSnapshot, 2);
  outbound.onEndpointsChanged(set);
  REQUIRE(outcomes.all.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(outcomes.all[i].first == uids[i]);
    CHECK(outcomes.all[i].second.id == "m-" + uids[i]);
    CHECK(outcomes.all[i].second.outcome == Outcome::kNotSent);  // proven never to have run
    CHECK_FALSE(outcomes.all[i].second.completed);
  }
  CHECK(outbound.pendingCalls() == 1);
  // Served by another destination under the same address: it is another endpoint.
  EndpointRecord other = at("stays", deaf.address);
  other.info.destination = 8;
  set.apply({3, false, {other}}, ListUpdateKind::kSnapshot, 3);
  outbound.onEndpointsChanged(set);
  CHECK(outcomes.all.size() == 4);
  CHECK(outbound.pendingCalls() == 0);
}

TEST_CASE("without a descriptor a call waits in its slot, and what runs out of time meanwhile was not sent") {
  lab::HandClock clock;
  Loop loop(clock);
  Counters counters;
  UpstreamClient outbound(loop, counters, {1500, {}});
  Outcomes outcomes;
  outbound.setListener(outcomes);
  const auto pass = [&](double ms) {
    clock.nowMs += ms;
    loop.after(0, [] {});
    loop.runOnce();
  };
  rlimit limit{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
  rlimit none = limit;
  none.rlim_cur = 0;
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
  outbound.call(at("a", parseAddress("127.0.0.1:9").value()),
                {{"soon", "", "x", 100}, {"later", "", "x", 1000}});
  pass(60);
  const bool waited = outcomes.all.empty() && outbound.pendingCalls() == 1;
  pass(60);
  const auto meanwhile = outcomes.all;
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  pass(60);
  CHECK(waited);
  REQUIRE(meanwhile.size() == 1);
  CHECK(meanwhile[0].second.id == "soon");
  CHECK(meanwhile[0].second.outcome == Outcome::kNotSent);  // it says nothing of the endpoint
  REQUIRE(outcomes.all.size() == 2);
  CHECK(outcomes.all[1].second.id == "later");
  CHECK(outcomes.all[1].second.outcome == Outcome::kNotSent);
  CHECK(outbound.pendingCalls() == 0);
}

// Guards against a fault of endpoints that nobody can see: bytes that answer no call end a connection, and
// were not counted.
TEST_CASE("bytes behind an answer are counted, and their endpoint is named") {
  const Clock clock;
  Loop loop(clock);
  Counters counters;
  UpstreamClient outbound(loop, counters, {60000, {}});
  Outcomes outcomes;
  outbound.setListener(outcomes);
  std::string error;
  const Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
  outbound.call(at("twice", *parseAddress(localAddress(listener))), {{"m", "", "body", 60000}});
  Fd accepted;
  std::string bytes;
  while (outcomes.all.empty()) {
    loop.after(1, [] {});
    loop.runOnce();
    int code = 0;
    if (!accepted) accepted = acceptFrom(listener, code);
    if (accepted && bytes.empty() && readSome(accepted, bytes) == Io::kProgress) {
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      std::size_t written = 0;
      REQUIRE(writeSome(accepted, answer + answer, written) == Io::kProgress);
    }
  }
  CHECK(outcomes.all.front().second.outcome == Outcome::kSuccess);
  CHECK(counters.unsolicited == 1);
  CHECK(outcomes.unsolicited == std::vector<std::string>{"twice"});
}
