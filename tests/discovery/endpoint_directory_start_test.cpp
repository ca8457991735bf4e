// Starts with lists of each age, also truncated, corrupt or missing ones: which classes are accepted, and to
// which endpoints calls are sent.
#include <doctest/doctest.h>

#include <array>
#include <string>

#include "tests/discovery/endpoint_directory_fixture.h"

using namespace myrtleloft;
using lab::Disk;

namespace {

struct Age {
  const char* name;
  double ms;
  std::array<bool, 3> accepted;  // for the classes status-update, caption-order and billing-charge
};
constexpr std::array<Age, 5> kAges = {{{"10 s", 10 * kSecond, {true, true, true}},
                                       {"1 h", kHour, {true, true, true}},
                                       {"1 day", kDay, {true, true, false}},
                                       {"1 week", 7 * kDay, {true, false, false}},
                                       {"2 months", 61 * kDay, {false, false, false}}}};

// Submits a request of each class, and checks that exactly the expected ones are rejected, with a retry time
// and a log line.
void submitEach(RelayFixture& process, const std::array<bool, 3>& accepted, const std::string& suffix = "") {
  std::uint64_t rejected = process.counters.failFastStale;
  for (int cls = 0; cls < 3; ++cls) {
    const auto at = static_cast<std::size_t>(cls);
    CAPTURE(cls);
    process.lastRetryAfterMs.reset();
    CHECK(process.submit(kThreeClasses[at].name + suffix, cls) == accepted[at]);
    if (accepted[at]) continue;
    CHECK(*process.lastRetryAfterMs > 0);
    CHECK(process.counters.failFastStale == ++rejected);
    CHECK(has(process.log.str(), "rejected classes:"));
    CHECK(has(process.log.str(), kThreeClasses[at].name));
  }
}

}  // namespace

TEST_CASE("a restart before discovery's first answer restores the list's age") {
  HandClocks clock;
  Disk disk;
  {
    RelayFixture process(disk, clock);
    process.begin(threeEndpoints(), clock.wallMs() - 5 * kSecond);
    process.advance(100);  // the process ends without an answer of discovery
  }
  clock.nowMs += 10 * kSecond;
  RelayFixture restarted(disk, clock);
  const double future =
      clock.wallMs() + kHour;  // the time of the configuration is in the future, so its age is unknown
  restarted.begin(threeEndpoints(), future);
  CHECK(restarted.directory.freshness() == Freshness::kFresh);
  CHECK(restarted.directory.age().ms >= 15 * kSecond);
  // A later revision was announced after the cached list was, so it takes over the age of that list.
  RelayFixture later(disk, clock);
  EndpointList next = threeEndpoints();
  next.revision += 1;
  later.begin(next, future);
  CHECK(later.directory.endpoints().revision() == next.revision);
  CHECK(later.directory.freshness() == Freshness::kFresh);
  Disk empty;
  RelayFixture first(empty, clock);
  first.begin(next, future);
  CHECK(first.directory.freshness() == Freshness::kStale);
  first.advance(100);
  CHECK(empty.files.count("/s/members") == 0);
}

TEST_CASE("a start without discovery accepts classes by the age of the list") {
  for (const Age& age : kAges) {
    CAPTURE(age.name);
    HandClocks clock;
    EndpointList list = threeEndpoints();
    SUBCASE("all as it was, after the machine's own restart or within one run") {
      for (const bool rebooted : {false, true}) {
        Disk disk = diskWith(list, clock);
        clock.nowMs += age.ms;
        if (rebooted) clock.run = "another", clock.machine = -clock.nowMs;
        RelayFixture process(disk, clock);
        process.begin();
        submitEach(process, age.accepted);
        process.advance(1000);
        CHECK(process.forbiddenSends.empty());
        CHECK(process.sent.size() >= (age.accepted[0] ? 1 : 0));
      }
    }
    SUBCASE("an endpoint drains in it: nothing new goes there, however old the list") {
      list.endpoints[0].info.state = EndpointState::kDraining;
      Disk disk = diskWith(list, clock);
      clock.nowMs += age.ms;
      EndpointDirectory::Options acceptsAll;
      acceptsAll.freshness.rejectsByAge = false;
      RelayFixture process(disk, clock, acceptsAll);
      process.begin();
      for (int i = 0; i < 40; ++i) {
        REQUIRE(process.submit("m" + std::to_string(i), i % 3));
        process.advance(20);
      }
      CHECK(process.forbiddenSends.empty());
      CHECK(!process.sent.empty());
      for (const RelayFixture::Sent& sent : process.sent) CHECK(sent.uid == "b");
      CHECK(process.directory.endpoints().findByUid("a")->drainingSinceWallMs > 0);
    }
    SUBCASE("discovery comes back with contradicting changes while pending requests are sent") {
      for (const double after : {0.0, 1000.0, 10000.0}) {
        Disk disk = diskWith(list, clock);
        clock.nowMs += age.ms;
        EndpointDirectory::Options acceptsAll;
        acceptsAll.freshness.rejectsByAge = false;
        RelayFixture process(disk, clock, acceptsAll);
        process.begin();
        for (int i = 0; i < 20; ++i) process.submit("h" + std::to_string(i), i % 2);
        process.advance(after);
        // a was removed, b's uid now serves another destination, b's address belongs to another uid, d is
        // new.
        process.onList(listOf(60, {endpoint("b", 9, 3009), endpoint("c", 8, 3003), endpoint("e", 9, 3002),
                                   endpoint("d", 7, 3004)}));
        const std::size_t before = process.sent.size();
        for (int i = 0; i < 20; ++i) process.submit("n" + std::to_string(i), i % 3);
        process.advance(2000);
        CHECK(process.forbiddenSends.empty());
        REQUIRE(process.sent.size() > before);
        for (std::size_t i = before; i < process.sent.size(); ++i) CHECK(process.sent[i].uid == "d");
        CHECK(process.directory.freshness() == Freshness::kFresh);
      }
    }
    SUBCASE("discovery comes back with an empty list") {
      Disk disk = diskWith(list, clock);
      clock.nowMs += age.ms;
      RelayFixture process(disk, clock);
      process.begin();
      process.onList(listOf(60, {}));
      CHECK(process.directory.endpoints().empty());
      process.submit("m", 0);
      process.advance(15000);
      CHECK(process.sent.empty());
      CHECK(process.finished.count("m") == 1);  // it has a final status nevertheless
    }
    SUBCASE("the list's end is cut off: no better than old") {
      Disk disk;
      {
        RelayFixture before(disk, clock);
        before.begin();
        before.onList(list);
        before.finishDue();
        before.onList(listOf(41, {endpoint("b", 7, 3002, EndpointState::kDraining)}, false));
        before.finishDue();
      }
      std::string& bytes = disk.files["/s/members"];
      bytes.resize(bytes.size() - 5);
      clock.nowMs += age.ms;
      RelayFixture process(disk, clock);
      process.begin();
      const bool expired = !age.accepted[0];
      submitEach(process, {!expired, false, false});
      CHECK(has(process.log.str(), "the cached list is incomplete"));
      process.onList(listOf(42, list.endpoints));
      submitEach(process, {true, true, true}, "-again");
    }
    SUBCASE("a flipped bit: it begins with the configuration's list, by that one's age") {
      Disk disk = diskWith(list, clock);
      disk.files["/s/members"][300] ^= 4;
      clock.nowMs += age.ms;
      RelayFixture process(disk, clock);
      process.begin(listOf(12, {endpoint("k", 7, 3020)}), clock.wallMs() - age.ms);
      CHECK(has(process.log.str(), "the cached list is not used: damage at byte"));
      CHECK(process.directory.endpoints().findByUid("k"));
      submitEach(process, age.accepted);
    }
    SUBCASE("a clock set back by a year: of unknown age, unless the machine has run since") {
      Disk disk = diskWith(list, clock);
      clock.nowMs += age.ms;
      clock.wall -= kYear;
      {
        RelayFixture process(disk, clock);
        process.begin();
        submitEach(process, age.accepted);
      }
      clock.run = "another";
      RelayFixture process(disk, clock);
      process.begin();
      CHECK(has(process.log.str(), "of unknown age, old"));
      submitEach(process, {true, false, false});
    }
  }
}

TEST_CASE("without any list nothing is sent, and all is accepted once discovery answers") {
  HandClocks clock;
  Disk disk;
  RelayFixture process(disk, clock);
  process.begin();
  CHECK(process.directory.endpoints().empty());
  submitEach(process, {true, false, false});
  process.onList(threeEndpoints());
  submitEach(process, {true, true, true}, "-then");
  process.advance(1000);
  CHECK(process.forbiddenSends.empty());
}

TEST_CASE("a list ages while the relay runs, and is fresh after discovery's next answer") {
  HandClocks clock;
  Disk disk;
  RelayFixture process(disk, clock);
  process.begin();
  process.onList(threeEndpoints());
  submitEach(process, {true, true, true}, "0");
  clock.nowMs += 3 * kHour;
  submitEach(process, {true, true, false}, "1");
  clock.nowMs += 4 * kDay;
  submitEach(process, {true, false, false}, "2");
  process.onList(listOf(40, {}, false));  // a long poll without a change confirms all of it
  submitEach(process, {true, true, true}, "3");
}
