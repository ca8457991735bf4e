// The order of one turn of the loop, on real descriptors; the process stands still where the clock jumps.
#include "net/loop.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "lab/hand_clock.h"
#include "tests/net/pipe.h"

using namespace myrtleloft;
using myrtleloft::testing::Pipe;

namespace {

constexpr double kStandsMs = 140;

// What happened, in order: a reader drains, a writer writes nothing and wants no more.
struct LoopScene {
  explicit LoopScene(Loop::PollFunction poll = &::poll) : loop(clock, poll) {}
  void watchReader(
      const Pipe& pipe, const std::string& name, std::function<void()> also = [] {}) {
    loop.watch(pipe.here.get(), POLLIN, [this, &pipe, name, also](short) {
      pipe.drain();
      seen.push_back("read " + name);
      also();
    });
  }
  void watchWriter(
      const Pipe& pipe, const std::string& name, std::function<void()> also = [] {}) {
    loop.watch(pipe.here.get(), POLLOUT, [this, &pipe, name, also](short) {
      loop.setEvents(pipe.here.get(), 0);
      seen.push_back("write " + name + (loop.pollIsOld() ? " late" : ""));
      also();
    });
  }
  // The process stands still, and meanwhile something comes.
  void standWhile(const Pipe& comes) {
    clock.nowMs += kStandsMs;
    comes.fill();
  }
  void turn() {
    loop.after(0, [] {});  // without waiting
    loop.runOnce();
  }
  lab::HandClock clock;
  Loop loop;
  std::vector<std::string> seen;
};

using Seen = std::vector<std::string>;

// For a poll function, which has no other way to its scene.
std::function<void()> afterRealPoll;
int pollThatStands(pollfd* descriptors, nfds_t count, int timeoutMs) {
  const int ready = ::poll(descriptors, count, timeoutMs);
  if (const std::function<void()> stand = std::exchange(afterRealPoll, nullptr)) stand();
  return ready;
}

}  // namespace

// Guards against a call that is written ahead of an answer which the same poll has reported.
TEST_CASE(
    "all that can be read is handed out before what can be written, whatever the descriptors' numbers") {
  LoopScene scene;
  const Pipe low, middle, high;
  scene.watchWriter(low, "low");
  scene.watchReader(high, "high");
  scene.watchReader(middle, "middle");
  middle.fill();
  high.fill();
  scene.turn();
  CHECK(scene.seen == Seen{"read middle", "read high", "write low"});
}

TEST_CASE(
    "a descriptor that can be read and written gets the reading first, and the writing in the same turn") {
  LoopScene scene;
  const Pipe both;
  std::vector<short> events;
  scene.loop.watch(both.here.get(), POLLIN | POLLOUT, [&](short event) { events.push_back(event); });
  both.fill();
  scene.turn();
  CHECK(events == std::vector<short>{POLLIN, POLLOUT});
}

TEST_CASE("a reader that ends a descriptor's wish to write, or its watch, is heeded in the same turn") {
  LoopScene scene;
  const Pipe reader, unwilling, forgotten;
  scene.watchReader(reader, "reader", [&] {
    scene.loop.setEvents(unwilling.here.get(), POLLIN);
    scene.loop.unwatch(forgotten.here.get());
  });
  scene.watchWriter(unwilling, "unwilling");
  scene.watchWriter(forgotten, "forgotten");
  reader.fill();
  scene.turn();
  CHECK(scene.seen == Seen{"read reader"});
}

// Guards against a call that leaves after a stall, ahead of what came during the stall.
TEST_CASE("what comes while a reader stands still is read before anything is written") {
  LoopScene scene;
  const Pipe writer, stands, comes;
  scene.watchWriter(writer, "writer");
  scene.watchReader(stands, "stands", [&] { scene.standWhile(comes); });
  scene.watchReader(comes, "comes");
  stands.fill();
  scene.turn();
  CHECK(scene.seen == Seen{"read stands", "read comes", "write writer"});
}

TEST_CASE(
    "what comes while the process stands in its poll, behind the kernel's look, is read before a write") {
  LoopScene scene(&pollThatStands);
  const Pipe writer, comes;
  scene.watchWriter(writer, "writer");
  scene.watchReader(comes, "comes");
  afterRealPoll = [&] { scene.standWhile(comes); };
  scene.turn();
  CHECK(scene.seen == Seen{"read comes", "write writer"});
}

TEST_CASE(
    "a writer behind one that stood still is told that the poll is old, and not any more in the next turn") {
  LoopScene scene;
  const Pipe stands, late, comes;
  scene.watchWriter(stands, "stands", [&] { scene.standWhile(comes); });
  scene.watchWriter(late, "second");
  scene.watchReader(comes, "comes");
  scene.turn();
  CHECK(scene.seen == Seen{"write stands", "write second late", "read comes"});
  scene.watchWriter(late, "second");
  scene.turn();
  CHECK(scene.seen.back() == "write second");
}

// Guards against a time-out, or a batch of decisions, that does not know what lies in the sockets.
TEST_CASE("what comes while a writer stands still is read before a timer that became due") {
  LoopScene scene;
  const Pipe stands, comes;
  scene.watchWriter(stands, "stands", [&] { scene.standWhile(comes); });
  scene.watchReader(comes, "comes");
  scene.loop.after(kStandsMs / 2, [&] { scene.seen.emplace_back("timer"); });
  scene.turn();
  CHECK(scene.seen == Seen{"write stands", "read comes", "timer"});
}

TEST_CASE("a turn that does not stand polls once, and a poll that fails hands out nothing") {
  static int polls = 0;
  LoopScene scene([](pollfd* descriptors, nfds_t count, int timeoutMs) {
    if (++polls != 2) return ::poll(descriptors, count, timeoutMs);
    errno = ENOMEM;
    for (nfds_t i = 0; i < count; ++i) descriptors[i].revents = POLLIN;
    return -1;
  });
  const Pipe reader;
  scene.watchReader(reader, "reader");
  scene.turn();
  CHECK(polls == 1);
  reader.fill();
  scene.turn();
  CHECK(scene.seen.empty());
  scene.turn();
  CHECK(scene.seen == Seen{"read reader"});
  CHECK(polls == 3);
}

TEST_CASE("a descriptor was quiet when the last poll began that watched it and did not report it") {
  LoopScene scene;
  const Pipe pipe;
  CHECK(scene.loop.quietAtMs(pipe.here.get()) == Loop::kNeverMs);
  scene.watchReader(pipe, "a");
  scene.clock.nowMs = 100;
  scene.turn();
  CHECK(scene.loop.quietAtMs(pipe.here.get()) == 100);
  scene.clock.nowMs = 200;
  pipe.fill();
  scene.turn();
  CHECK(scene.loop.quietAtMs(pipe.here.get()) == 100);
  scene.loop.setEvents(pipe.here.get(), 0);  // not watched for reading, so nothing is known of it
  scene.clock.nowMs = 300;
  scene.turn();
  CHECK(scene.loop.quietAtMs(pipe.here.get()) == 100);
}

// Where the system does not tell when bytes came: what a poll finds at once came since the one before
// returned.
TEST_CASE("a descriptor was likely quiet until a poll returned that saw it so, or that waited for it") {
  LoopScene scene;
  const Pipe pipe;
  scene.watchReader(pipe, "a");
  scene.clock.nowMs = 100;
  scene.turn();
  CHECK(scene.loop.likelyQuietAtMs(pipe.here.get()) == 100);
  pipe.fill();
  scene.clock.nowMs = 200;
  scene.turn();  // found at once
  CHECK(scene.loop.likelyQuietAtMs(pipe.here.get()) == 100);
  LoopScene waits(&pollThatStands);
  waits.watchReader(pipe, "a");
  waits.loop.after(100, [] {});
  afterRealPoll = [&] { waits.clock.nowMs = 50; };
  pipe.fill();
  waits.loop.runOnce();
  CHECK(waits.loop.likelyQuietAtMs(pipe.here.get()) == 50);
}

// Guards against a time that runs from the reading where the process stood inside a poll, and the system does
// not tell when bytes came.
TEST_CASE("a poll that returns long after its time-out says of no descriptor that it was quiet meanwhile") {
  for (const bool isReported : {true, false}) {  // or comes between the kernel's look and the return
    LoopScene scene(&pollThatStands);
    const Pipe pipe;
    scene.watchReader(pipe, "a");
    scene.loop.after(10, [] {});
    if (isReported) pipe.fill();
    afterRealPoll = [&] {
      scene.clock.nowMs = 10 + kStandsMs;
      if (!isReported) pipe.fill();
    };
    scene.loop.runOnce();
    CHECK(scene.loop.likelyQuietAtMs(pipe.here.get()) == 0);
  }
}

TEST_CASE("the longest delay of a timer tells for how long the process stood") {
  LoopScene scene;
  scene.loop.after(10, [] {});
  scene.clock.nowMs = 10 + kStandsMs;
  scene.turn();
  CHECK(scene.loop.maxTimerDelayMs() == kStandsMs);
}
