// UpstreamClient: queued and unsent calls, changes of the endpoint list, and unsolicited bytes.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <memory>
#include <string>
#include <vector>

#include "lab/hand_clock.h"
#include "outbound/upstream_client.h"
#include "tests/outbound_site.h"

using namespace myrtleloft;

using lab::endpointRecord, lab::SaturatedListener, lab::Outcomes;

TEST_CASE("a call without a free slot is queued, its timeout running, and can be cancelled") {
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
    outbound.call(endpointRecord(id[0] == 't' ? "b" : "a", address),
                  {{id, "", "body", id[0] == 'l' ? 100.0 : 60000.0}});
  pass(50);
  CHECK(counters.connectionsOut == 1);
  int code = 0;
  const Fd fd = acceptFrom(listener, code);
  REQUIRE(fd);
  CHECK(outcomes.all.empty());
  pass(100);
  REQUIRE(outcomes.all.size() == 1);  // it timed out in the queue: it cannot have been executed
  CHECK(outcomes.all[0].second.id == "late");
  CHECK(outcomes.all[0].second.outcome == Outcome::kNotSent);
  outbound.cancelUnsent([](const std::string& uid) { return uid == "b"; });
  REQUIRE(outcomes.all.size() == 2);
  CHECK(outcomes.all[1].second.id == "third");
  CHECK(outcomes.all[1].second.outcome == Outcome::kNotSent);
  // Once the first call is answered, the next queued call is sent on a connection of its own.
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

TEST_CASE("calls to an affected endpoint are cancelled while connecting, but not once they are sent") {
  const Clock clock;
  Loop loop(clock);
  Counters counters;
  UpstreamClient outbound(loop, counters, {60000, {}});
  Outcomes outcomes;
  outbound.setListener(outcomes);
  SaturatedListener saturated;
  std::string error;
  const Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
  const Address up = *parseAddress(localAddress(listener));
  outbound.call(endpointRecord("told", saturated.address), {{"connecting", "", "body", 60000}});
  outbound.call(endpointRecord("other", saturated.address), {{"elsewhere", "", "body", 60000}});
  outbound.call(endpointRecord("told", up), {{"left", "", "body", 60000}});
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

TEST_CASE("unsent calls are reported at once when their endpoint is removed, drains or changes its address") {
  const Clock clock;
  Loop loop(clock);
  Counters counters;
  UpstreamClient outbound(loop, counters, {60000, {}});
  Outcomes outcomes;
  outbound.setListener(outcomes);
  SaturatedListener saturated;
  const Address elsewhere = parseAddress("127.0.0.1:9").value();
  const std::vector<std::string> uids = {"gone", "drains", "moved", "stays"};
  EndpointList list{1, true, {}};
  for (const std::string& uid : uids)
    list.endpoints.push_back(endpointRecord(uid.c_str(), saturated.address));
  EndpointTable set;
  set.apply(list, ListUpdateKind::kSnapshot, 1);
  for (const std::string& uid : uids) outbound.call(*set.find(uid), {{"m-" + uid, "", "body", 60000}});
  outbound.onEndpointsChanged(set);  // nothing has changed
  CHECK(outcomes.all.empty());
  set.apply({2,
             true,
             {endpointRecord("drains", saturated.address, EndpointState::kDraining),
              endpointRecord("moved", elsewhere), endpointRecord("stays", saturated.address)}},
            ListUpdateKind::kSnapshot, 2);
  outbound.onEndpointsChanged(set);
  REQUIRE(outcomes.all.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(outcomes.all[i].first == uids[i]);
    CHECK(outcomes.all[i].second.id == "m-" + uids[i]);
    CHECK(outcomes.all[i].second.outcome == Outcome::kNotSent);  // known not executed
    CHECK_FALSE(outcomes.all[i].second.completed);
  }
  CHECK(outbound.pendingCalls() == 1);
  // A record with another destination at the same address is a different endpoint.
  EndpointRecord other = endpointRecord("stays", saturated.address);
  other.info.destination = 8;
  set.apply({3, false, {other}}, ListUpdateKind::kSnapshot, 3);
  outbound.onEndpointsChanged(set);
  CHECK(outcomes.all.size() == 4);
  CHECK(outbound.pendingCalls() == 0);
}

TEST_CASE("without a free descriptor a call keeps its slot, and items that time out meanwhile are not sent") {
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
  outbound.call(endpointRecord("a", parseAddress("127.0.0.1:9").value()),
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
  CHECK(meanwhile[0].second.outcome == Outcome::kNotSent);  // the endpoint is not at fault
  REQUIRE(outcomes.all.size() == 2);
  CHECK(outcomes.all[1].second.id == "later");
  CHECK(outcomes.all[1].second.outcome == Outcome::kNotSent);
  CHECK(outbound.pendingCalls() == 0);
}

// Guards against an endpoint fault that goes unnoticed: bytes after an answer used to close the connection
// without being counted.
TEST_CASE("bytes after an answer are counted and reported with their endpoint") {
  const Clock clock;
  Loop loop(clock);
  Counters counters;
  UpstreamClient outbound(loop, counters, {60000, {}});
  Outcomes outcomes;
  outbound.setListener(outcomes);
  std::string error;
  const Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
  outbound.call(endpointRecord("twice", *parseAddress(localAddress(listener))), {{"m", "", "body", 60000}});
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
