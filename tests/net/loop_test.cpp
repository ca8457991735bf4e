// Loop: the order of events in a turn, and quiet times. Uses real descriptors; a jump of the clock simulates
// a stopped process.
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

constexpr double kStallMs = 140;

// Records events in order. A reader drains its descriptor; a writer writes nothing and stops watching.
struct LoopFixture {
  explicit LoopFixture(Loop::PollFunction poll = &::poll) : loop(clock, poll) {}
  void watchReader(
      const Pipe& pipe, const std::string& name, std::function<void()> then = [] {}) {
    loop.watch(pipe.here.get(), POLLIN, [this, &pipe, name, then](short) {
      pipe.drain();
      events.push_back("read " + name);
      then();
    });
  }
  void watchWriter(
      const Pipe& pipe, const std::string& name, std::function<void()> then = [] {}) {
    loop.watch(pipe.here.get(), POLLOUT, [this, &pipe, name, then](short) {
      loop.setEvents(pipe.here.get(), 0);
      events.push_back("write " + name + (loop.pollIsOld() ? " late" : ""));
      then();
    });
  }
  // Simulates a stopped process, during which a byte arrives.
  void stallWhile(const Pipe& arriving) {
    clock.nowMs += kStallMs;
    arriving.fill();
  }
  void turn() {
    loop.after(0, [] {});  // a due timer keeps the poll from waiting
    loop.runOnce();
  }
  lab::HandClock clock;
  Loop loop;
  std::vector<std::string> events;
};

using Events = std::vector<std::string>;

// Called once by pollThatStalls; global, because a poll function has no access to its fixture.
std::function<void()> afterRealPoll;
int pollThatStalls(pollfd* descriptors, nfds_t count, int timeoutMs) {
  const int ready = ::poll(descriptors, count, timeoutMs);
  if (const std::function<void()> stall = std::exchange(afterRealPoll, nullptr)) stall();
  return ready;
}

}  // namespace

// Guards against writing a call before reading an answer that the same poll reported.
TEST_CASE("all read events are dispatched before the write events, regardless of the descriptor order") {
  LoopFixture fixture;
  const Pipe low, middle, high;
  fixture.watchWriter(low, "low");
  fixture.watchReader(high, "high");
  fixture.watchReader(middle, "middle");
  middle.fill();
  high.fill();
  fixture.turn();
  CHECK(fixture.events == Events{"read middle", "read high", "write low"});
}

TEST_CASE(
    "a readable and writable descriptor gets the read event first, and the write event in the same turn") {
  LoopFixture fixture;
  const Pipe both;
  std::vector<short> reported;
  fixture.loop.watch(both.here.get(), POLLIN | POLLOUT, [&](short event) { reported.push_back(event); });
  both.fill();
  fixture.turn();
  CHECK(reported == std::vector<short>{POLLIN, POLLOUT});
}

TEST_CASE("a read handler that clears POLLOUT or unwatches a descriptor takes effect in the same turn") {
  LoopFixture fixture;
  const Pipe reader, disarmed, unwatched;
  fixture.watchReader(reader, "reader", [&] {
    fixture.loop.setEvents(disarmed.here.get(), POLLIN);
    fixture.loop.unwatch(unwatched.here.get());
  });
  fixture.watchWriter(disarmed, "disarmed");
  fixture.watchWriter(unwatched, "unwatched");
  reader.fill();
  fixture.turn();
  CHECK(fixture.events == Events{"read reader"});
}

// Guards against sending a call after a stall without reading the input that arrived during the stall.
TEST_CASE("input that arrives while a read handler stalls is read before anything is written") {
  LoopFixture fixture;
  const Pipe writer, stalling, arriving;
  fixture.watchWriter(writer, "writer");
  fixture.watchReader(stalling, "stalling", [&] { fixture.stallWhile(arriving); });
  fixture.watchReader(arriving, "arriving");
  stalling.fill();
  fixture.turn();
  CHECK(fixture.events == Events{"read stalling", "read arriving", "write writer"});
}

TEST_CASE(
    "input that arrives while the process stalls at the end of a poll is read before anything is written") {
  LoopFixture fixture(&pollThatStalls);
  const Pipe writer, arriving;
  fixture.watchWriter(writer, "writer");
  fixture.watchReader(arriving, "arriving");
  afterRealPoll = [&] { fixture.stallWhile(arriving); };
  fixture.turn();
  CHECK(fixture.events == Events{"read arriving", "write writer"});
}

TEST_CASE("after a write handler stalls, the next one sees an old poll, but not any more in the next turn") {
  LoopFixture fixture;
  const Pipe stalling, late, arriving;
  fixture.watchWriter(stalling, "stalling", [&] { fixture.stallWhile(arriving); });
  fixture.watchWriter(late, "second");
  fixture.watchReader(arriving, "arriving");
  fixture.turn();
  CHECK(fixture.events == Events{"write stalling", "write second late", "read arriving"});
  fixture.watchWriter(late, "second");
  fixture.turn();
  CHECK(fixture.events.back() == "write second");
}

// Guards against timeouts and batches of decisions that ignore unread input.
TEST_CASE("input that arrives while a write handler stalls is read before a timer that became due") {
  LoopFixture fixture;
  const Pipe stalling, arriving;
  fixture.watchWriter(stalling, "stalling", [&] { fixture.stallWhile(arriving); });
  fixture.watchReader(arriving, "arriving");
  fixture.loop.after(kStallMs / 2, [&] { fixture.events.emplace_back("timer"); });
  fixture.turn();
  CHECK(fixture.events == Events{"write stalling", "read arriving", "timer"});
}

TEST_CASE("a turn without a stall polls once, and a failed poll dispatches nothing") {
  static int polls = 0;
  LoopFixture fixture([](pollfd* descriptors, nfds_t count, int timeoutMs) {
    if (++polls != 2) return ::poll(descriptors, count, timeoutMs);
    errno = ENOMEM;
    for (nfds_t i = 0; i < count; ++i) descriptors[i].revents = POLLIN;
    return -1;
  });
  const Pipe reader;
  fixture.watchReader(reader, "reader");
  fixture.turn();
  CHECK(polls == 1);
  reader.fill();
  fixture.turn();
  CHECK(fixture.events.empty());
  fixture.turn();
  CHECK(fixture.events == Events{"read reader"});
  CHECK(polls == 3);
}

TEST_CASE("the quiet time is the start of the last poll that watched a descriptor and did not report it") {
  LoopFixture fixture;
  const Pipe pipe;
  CHECK(fixture.loop.quietAtMs(pipe.here.get()) == Loop::kNeverMs);
  fixture.watchReader(pipe, "a");
  fixture.clock.nowMs = 100;
  fixture.turn();
  CHECK(fixture.loop.quietAtMs(pipe.here.get()) == 100);
  fixture.clock.nowMs = 200;
  pipe.fill();
  fixture.turn();
  CHECK(fixture.loop.quietAtMs(pipe.here.get()) == 100);
  fixture.loop.setEvents(pipe.here.get(), 0);  // not watched for reading, so its quiet time is unchanged
  fixture.clock.nowMs = 300;
  fixture.turn();
  CHECK(fixture.loop.quietAtMs(pipe.here.get()) == 100);
}

// Used if the system does not tell when bytes arrived: input that a poll reports without waiting arrived
// after the previous poll returned.
TEST_CASE("the likely quiet time is the return of a poll that did not report it, or that waited for it") {
  LoopFixture fixture;
  const Pipe pipe;
  fixture.watchReader(pipe, "a");
  fixture.clock.nowMs = 100;
  fixture.turn();
  CHECK(fixture.loop.likelyQuietAtMs(pipe.here.get()) == 100);
  pipe.fill();
  fixture.clock.nowMs = 200;
  fixture.turn();  // reported without waiting
  CHECK(fixture.loop.likelyQuietAtMs(pipe.here.get()) == 100);
  LoopFixture waits(&pollThatStalls);
  waits.watchReader(pipe, "a");
  waits.loop.after(100, [] {});
  afterRealPoll = [&] { waits.clock.nowMs = 50; };
  pipe.fill();
  waits.loop.runOnce();
  CHECK(waits.loop.likelyQuietAtMs(pipe.here.get()) == 50);
}

// Guards against timeouts that are counted from the read if the process was stopped inside a poll and the
// system does not tell when bytes arrived.
TEST_CASE("a poll that returns long after its timeout does not advance the likely quiet time to its return") {
  for (const bool isReported : {true, false}) {  // otherwise the byte arrives after the kernel's check
    LoopFixture fixture(&pollThatStalls);
    const Pipe pipe;
    fixture.watchReader(pipe, "a");
    fixture.loop.after(10, [] {});
    if (isReported) pipe.fill();
    afterRealPoll = [&] {
      fixture.clock.nowMs = 10 + kStallMs;
      if (!isReported) pipe.fill();
    };
    fixture.loop.runOnce();
    CHECK(fixture.loop.likelyQuietAtMs(pipe.here.get()) == 0);
  }
}

TEST_CASE("the largest timer delay shows for how long the process was stopped") {
  LoopFixture fixture;
  fixture.loop.after(10, [] {});
  fixture.clock.nowMs = 10 + kStallMs;
  fixture.turn();
  CHECK(fixture.loop.maxTimerDelayMs() == kStallMs);
}
