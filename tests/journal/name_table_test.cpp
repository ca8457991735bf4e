// What is recorded under names, read by a process whose settings give the numbers other meanings: by name,
// and where something may have run no more freely than the settings of then and those of now both allow.
#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "tests/journal/name_table_site.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

namespace {

// Whether one of class "x", sent at 1,000, goes on when the class has another meaning at 2,000; its attempt's
// time in `sentMs`.
bool goesOn(const ClassEntry& then, const ClassEntry& now, const char* key = "k", double* sentMs = nullptr,
            double wallMs = 2000) {
  Disk disk;
  const NameTable before{{then}, {}, {"norte"}}, after{{now}, {}, {"norte"}};
  {
    Opened opened(disk, before);
    PendingRequest request = pending("x", 0);
    request.key = key;
    REQUIRE(opened.journal->recordAccepted(request));
    REQUIRE(opened.journal->recordAttempt(request, {"E1", 0, 1000, 0}));
  }
  Opened opened(disk, after);
  REQUIRE(opened.good);
  RecoveredRequest* request = opened.found.pending.find("x");
  REQUIRE(request);
  const bool on = mayContinue(request->pending, request->permission, settingsOf(after),
                              {wallMs, newestRecordedWallMs(opened.found.pending), 0});
  if (sentMs) *sentMs = request->pending.ambiguousAttempts.front().sentWallMs;
  return on;
}

}  // namespace

TEST_CASE("classes, tenants and zones are found again by name, whatever their numbers are now") {
  Disk disk;
  leave(disk, kThen);
  for (int start = 0; start < 2;
       ++start) {  // the second reads what the first left, in its own segment or not
    Opened opened(disk, kTurned);
    REQUIRE(opened.good);
    REQUIRE(opened.found.pending.size() == 4);
    CHECK(opened.of("s").pending.classIndex == 1);
    CHECK(opened.of("o").pending.classIndex == 2);
    CHECK(opened.of("c").pending.classIndex == 0);
    CHECK(opened.of("u").pending.classIndex == 0);
    CHECK(opened.of("s").pending.tenant == 1);
    CHECK(opened.of("o").pending.tenant == 0);
    CHECK(opened.of("o").pending.ambiguousAttempts.front().zone == 0);  // "sur"
    // Carried over, they stand under the names of now.
    for (int i = 0; i < 100 && opened.journal->wantsCompaction(); ++i) REQUIRE(opened.journal->compactStep());
  }
  Opened back(disk, kThen);
  REQUIRE(back.good);
  CHECK(back.of("c").pending.classIndex == 2);
  CHECK(back.of("o").pending.ambiguousAttempts.front().zone == 1);
}

TEST_CASE(
    "two configurations in turn on one folder: each attempt counts under the names it was recorded by") {
  Disk disk;
  leave(disk, kThen);
  {
    Opened opened(disk, kTurned);
    RecoveredRequest* request = opened.found.pending.find("o");
    REQUIRE(request);
    REQUIRE(opened.journal->recordAttempt(request->pending, {"E2", 2, 1500, 0}));  // "norte"
    PendingRequest fresh = pending("f", 0, 0);                                     // "charge", "puerto"
    REQUIRE(opened.journal->recordAccepted(fresh));
  }
  Opened opened(disk, kThen);
  REQUIRE(opened.good);
  const PendingRequest& order = opened.of("o").pending;
  REQUIRE(order.ambiguousAttempts.size() == 2);
  CHECK(order.ambiguousAttempts[0].zone == 1);
  CHECK(order.ambiguousAttempts[1].zone == 0);
  CHECK(opened.of("f").pending.classIndex == 2);
  CHECK(opened.of("f").pending.tenant == 1);
}

TEST_CASE(
    "a folder left by another deployment: nothing of it is sent, whatever its numbers would mean here") {
  Disk disk;
  leave(disk, kThen);
  const NameTable other{{meaning("mail", Idempotency::kIdempotent), meaning("scan", Idempotency::kIdempotent),
                         meaning("index", Idempotency::kIdempotent)},
                        {"dinas", "sir"},
                        {"de"}};
  Opened opened(disk, other);
  REQUIRE(opened.good);
  for (RecoveredRequest& request : opened.found.pending) {
    CHECK_FALSE(mayContinue(request.pending, request.permission, settingsOf(other), {2000, 0, 0}));
    for (const RecordedAttempt& attempt : request.pending.ambiguousAttempts)
      CHECK(attempt.zone == RecordedAttempt::kLostZone);
  }
  // The same classes, but the tenants are not ours.
  NameTable tenants = kThen;
  tenants.tenants = {"dinas", "sir"};
  Opened again(disk, tenants);
  for (RecoveredRequest& request : again.found.pending)
    CHECK_FALSE(mayContinue(request.pending, request.permission, settingsOf(tenants), {2000, 0, 0}));
}

TEST_CASE("a class of the same name with another meaning: what may have run goes on only as both allow") {
  const auto loose = meaning("x", Idempotency::kIdempotent), once = meaning("x", Idempotency::kNonIdempotent);
  const auto keyed = meaning("x", Idempotency::kIdempotentWithKey),
             zoned = meaning("x", Idempotency::kIdempotentWithKey, DeduplicationScope::kZone);
  CHECK_FALSE(goesOn(once, loose));
  CHECK_FALSE(goesOn(once, keyed));
  CHECK_FALSE(goesOn(keyed, loose));
  CHECK_FALSE(goesOn(zoned, keyed));
  CHECK(goesOn(keyed, zoned));
  CHECK(goesOn(loose, keyed));
  CHECK_FALSE(goesOn(loose, keyed, ""));  // nothing by which an endpoint could recognize the repeat
  CHECK(goesOn(loose, once));             // on to the module, which sends nothing that may have run
  double sentMs = 0;
  const auto shorter = meaning("x", Idempotency::kIdempotentWithKey, DeduplicationScope::kDestination, 1000);
  CHECK(goesOn(shorter, keyed, "k", &sentMs));
  CHECK(sentMs + kSpanMs == 1000 + 1000);  // the window of then
  CHECK(goesOn(keyed, shorter, "k", &sentMs));
  CHECK(sentMs == 1000);                                     // the module goes by the window of now
  CHECK_FALSE(goesOn(shorter, keyed, "k", &sentMs, -1000));  // the clock was set back
}

TEST_CASE("the shorter of two idempotency windows outlasts a rewriting") {
  Disk disk;
  const NameTable then{
      {meaning("x", Idempotency::kIdempotentWithKey, DeduplicationScope::kDestination, 1000)}, {}, {}},
      now{{meaning("x", Idempotency::kIdempotentWithKey)}, {}, {}};
  {
    Opened opened(disk, then);
    PendingRequest request = pending("x", 0);
    REQUIRE(opened.journal->recordAccepted(request));
    REQUIRE(opened.journal->recordAttempt(request, {"E1", 0, 1000, 0}));
  }
  for (int start = 0; start < 3; ++start) {
    JournalOptions options{"/s", 1000000, 0, {}, "the test", 7};
    options.names = now;
    options.tuning.freeShare = 1;
    options.tuning.maxSegments = 1;  // carries all over at once
    disk.locks.clear();
    HandClock clock;
    FaultyFiles files(disk);
    std::ostringstream log;
    Journal journal({files, clock, log}, options);
    auto found = journal.open();
    REQUIRE(found);
    RecoveredRequest* request = found->pending.find("x");
    REQUIRE(request);
    CHECK(request->permission.has_value() == (start == 0));
    CHECK(mayContinue(request->pending, request->permission, settingsOf(now), {2000, 0, 0}));
    CHECK(request->pending.ambiguousAttempts.front().sentWallMs == 1000 + 1000 - kSpanMs);
    journal.attach(request->pending);
    for (int i = 0; i < 10 && journal.wantsCompaction(); ++i) REQUIRE(journal.compactStep());
  }
}

TEST_CASE("a folder without names is taken over: its numbers mean what they mean now") {
  Disk disk;
  leave(disk, {});
  for (const auto& [path, bytes] : disk.files)
    if (path.ends_with(".seg")) CHECK(readHeader(bytes).version == kUnnamedVersion);
  {
    Opened opened(disk, kTurned);
    REQUIRE(opened.good);
    CHECK(opened.of("s").pending.classIndex == 0);
    CHECK(opened.of("o").pending.ambiguousAttempts.front().zone == 1);
    CHECK_FALSE(opened.of("o").permission.has_value());
    PendingRequest fresh = pending("f", 0);
    REQUIRE(opened.journal->recordAccepted(fresh));
  }
  Opened opened(disk, kThen);
  CHECK(opened.of("s").pending.classIndex == 0);
  CHECK(opened.of("f").pending.classIndex == 2);  // "charge"
}
