// A request that is over before its call has left, beside others that are not.
#include <doctest/doctest.h>
#include <poll.h>

#include <string>
#include <vector>

#include "lab/hand_clock.h"
#include "tests/outbound_site.h"

using namespace myrtleloft;
using lab::at, lab::Deaf, lab::Outcomes;

// Forces the instant at which one of a call's requests is over while its connection is still half-way up:
// told as never sent, it is refused to its client, and then nothing of it may reach the endpoint.
TEST_CASE("a request whose time is up before its call's connection is up does not leave with the others") {
  lab::HandClock clock;
  Loop loop(clock);
  Counters counters;
  Outbound outbound(loop, counters, {60000, 10000, 8, {}});
  Outcomes outcomes;
  outbound.listen(outcomes);
  Deaf deaf;
  outbound.call(at("a", deaf.address), {{"soon", "", "x", 100}, {"later", "", "y", 60000}});
  const auto pass = [&](double ms) {
    clock.nowMs += ms;
    loop.after(0, [] {});
    loop.runOnce();
  };
  pass(50);
  CHECK(outcomes.all.empty());
  pass(60);
  REQUIRE(outcomes.all.size() == 1);
  CHECK(outcomes.all[0].second.id == "soon");
  CHECK(outcomes.all[0].second.outcome == Outcome::kNoConn);
  // Now there is room: the system asks for the connection again after a second, or three.
  std::vector<Fd> accepted;
  std::string bytes;
  for (int turns = 0; turns < 20000 && bytes.find("later") == bytes.npos; ++turns) {
    int code = 0;
    if (hasArrival(deaf.fd)) accepted.push_back(acceptFrom(deaf.fd, code));
    for (const Fd& fd : accepted) readSome(fd, bytes);
    ::poll(nullptr, 0, 1);
    pass(0);
  }
  CHECK(bytes.find("later") != bytes.npos);
  CHECK(bytes.find("soon") == bytes.npos);
  CHECK(bytes.find("X-Timeout: 59.890") != bytes.npos);  // of the one that is left
  CHECK(outcomes.all.size() == 1);
}

// Forces the instant at which one of a call's requests is over while its bytes are half out: they cannot be
// taken back one by one, so the call does not go on.
TEST_CASE("a call of which a part is written is given up whole once one of its requests is over") {
  lab::HandClock clock;
  Loop loop(clock);
  Counters counters;
  Outbound outbound(loop, counters, {60000, 10000, 8, {}});
  Outcomes outcomes;
  outbound.listen(outcomes);
  std::string error;
  const Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
  const std::string long_(32 * 1024 * 1024, 'x');  // more than the system holds for a peer that does not read
  outbound.call(at("a", *parseAddress(localAddress(listener))),
                {{"soon", "", long_, 100}, {"later", "", "y", 60000}});
  const auto pass = [&](double ms) {
    clock.nowMs += ms;
    loop.after(0, [] {});
    loop.runOnce();
  };
  int code = 0;
  const Fd fd = acceptFrom(listener, code);
  REQUIRE(fd);
  while (!hasInput(fd)) pass(0);
  pass(110);
  REQUIRE(outcomes.all.size() == 2);
  for (const auto& [uid, outcome] : outcomes.all) CHECK(outcome.outcome == Outcome::kNoConn);
  CHECK(outbound.callsOut() == 0);
  std::string bytes;
  for (Io io = Io::kProgress; io == Io::kProgress;) io = readSome(fd, bytes);
  CHECK(bytes.size() < long_.size());
}

// Forces the instant at which one of a call's requests is over while the endpoint works on all of them: from
// then on an answer would speak for none.
TEST_CASE("a call that has left is given up whole once one of its requests is over") {
  lab::HandClock clock;
  Loop loop(clock);
  Counters counters;
  Outbound outbound(loop, counters, {60000, 10000, 8, {}});
  Outcomes outcomes;
  outbound.listen(outcomes);
  std::string error;
  const Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
  outbound.call(at("a", *parseAddress(localAddress(listener))),
                {{"later", "", "x", 60000}, {"soon", "", "y", 100}});
  const auto pass = [&](double ms) {
    clock.nowMs += ms;
    loop.after(0, [] {});
    loop.runOnce();
  };
  int code = 0;
  const Fd fd = acceptFrom(listener, code);
  REQUIRE(fd);
  std::string bytes;
  while (bytes.find("soon") == bytes.npos) {
    pass(0);
    readSome(fd, bytes);
  }
  CHECK(bytes.find("X-Timeout: 0.100") != bytes.npos);  // so the endpoint is told
  CHECK(outcomes.all.empty());
  pass(110);
  REQUIRE(outcomes.all.size() == 2);
  for (const auto& [uid, outcome] : outcomes.all) CHECK(outcome.outcome == Outcome::kLate);
  CHECK(outbound.callsOut() == 0);
  CHECK(readSome(fd, bytes) == Io::kClosed);
}

// Forces the instant at which an endpoint tells a wait while another call to it is half out: the endpoint
// does not read, and what it reads later arrives inside the wait.
TEST_CASE("a call of which a part is written is taken back by a wait") {
  lab::HandClock clock;
  Loop loop(clock);
  Counters counters;
  Outbound outbound(loop, counters, {60000, 10000, 8, {}});
  Outcomes outcomes;
  outbound.listen(outcomes);
  std::string error;
  const Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
  const std::string long_(32 * 1024 * 1024, 'x');  // more than the system holds for a peer that does not read
  outbound.call(at("a", *parseAddress(localAddress(listener))), {{"long", "", long_, 60000}});
  const auto turn = [&] {
    loop.after(0, [] {});
    loop.runOnce();
  };
  int code = 0;
  const Fd fd = acceptFrom(listener, code);
  REQUIRE(fd);
  while (!hasInput(fd)) turn();
  turn();
  outbound.recall([](const std::string&) { return true; });
  REQUIRE(outcomes.all.size() == 1);
  CHECK(outcomes.all[0].second.outcome == Outcome::kNop);
  CHECK(outbound.callsOut() == 0);
  std::string bytes;
  for (Io io = Io::kProgress; io == Io::kProgress;) io = readSome(fd, bytes);
  CHECK(bytes.size() < long_.size());
}

// Forces the instant at which an answer comes between the loop's look at its descriptors and the timer that
// gives the call up: closed unread, the wait that it tells would be broken by the next call.
TEST_CASE("an answer that has come when its call's time is up still counts") {
  lab::HandClock clock;
  Loop loop(clock);
  Counters counters;
  Outbound outbound(loop, counters, {60000, 10000, 8, {}});
  Outcomes outcomes;
  outbound.listen(outcomes);
  std::string error;
  const Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
  outbound.call(at("a", *parseAddress(localAddress(listener))), {{"m", "", "x", 100}});
  const auto turn = [&] {
    loop.after(0, [] {});
    loop.runOnce();
  };
  int code = 0;
  const Fd fd = acceptFrom(listener, code);
  REQUIRE(fd);
  std::string bytes;
  while (bytes.find("\r\n\r\nx") == bytes.npos) {
    turn();
    readSome(fd, bytes);
  }
  loop.after(90, [&] {
    std::size_t put = 0;
    writeSome(fd, "HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n", put);
  });
  clock.nowMs += 110;  // both timers are due in one turn
  turn();
  REQUIRE(outcomes.all.size() == 1);
  CHECK(outcomes.all[0].second.outcome == Outcome::kFull);
  CHECK(outcomes.all[0].second.detail == 2500);
  CHECK(outbound.callsOut() == 0);
}
