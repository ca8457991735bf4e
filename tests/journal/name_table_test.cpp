// Recovery by a process whose settings assign other numbers to the names, or other properties to a class.
// Numbers are translated by name, and a request that may have been executed is sent again only if both the
// recorded and the current class settings permit it.
#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "tests/journal/name_table_site.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

namespace {

constexpr std::size_t kLimitBytes = 1000000;

// Returns whether a request of a class that was `then`, with an attempt at 1,000 ms, may continue at `wallMs`
// when its class is `now`. Stores the recovered time of the attempt in `sentMs`.
bool mayContinueAfterChange(const ClassEntry& then, const ClassEntry& now, const char* key = "k",
                            double* sentMs = nullptr, double wallMs = 2000) {
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
  const bool permitted = mayContinue(request->pending, request->permission, settingsOf(after),
                                     {wallMs, newestRecordedWallMs(opened.found.pending), 0});
  if (sentMs) *sentMs = request->pending.ambiguousAttempts.front().sentWallMs;
  return permitted;
}

}  // namespace

TEST_CASE("classes, tenants and zones are translated by name to their current numbers") {
  Disk disk;
  writeRequests(disk, kOriginalNames);
  // The second start also reads segments that the first one wrote.
  for (int start = 0; start < 2; ++start) {
    Opened opened(disk, kReorderedNames);
    REQUIRE(opened.good);
    REQUIRE(opened.found.pending.size() == 4);
    CHECK(opened.of("s").pending.classIndex == 1);
    CHECK(opened.of("o").pending.classIndex == 2);
    CHECK(opened.of("c").pending.classIndex == 0);
    CHECK(opened.of("u").pending.classIndex == 0);
    CHECK(opened.of("s").pending.tenant == 1);
    CHECK(opened.of("o").pending.tenant == 0);
    CHECK(opened.of("o").pending.ambiguousAttempts.front().zone == 0);  // "sur"
    // Compaction rewrites the requests with the current numbers.
    for (int i = 0; i < 100 && opened.journal->wantsCompaction(); ++i) REQUIRE(opened.journal->compactStep());
  }
  Opened back(disk, kOriginalNames);
  REQUIRE(back.good);
  CHECK(back.of("c").pending.classIndex == 2);
  CHECK(back.of("o").pending.ambiguousAttempts.front().zone == 1);
}

TEST_CASE(
    "two configurations in turn on one folder: each attempt is translated by the names it was recorded "
    "with") {
  Disk disk;
  writeRequests(disk, kOriginalNames);
  {
    Opened opened(disk, kReorderedNames);
    RecoveredRequest* request = opened.found.pending.find("o");
    REQUIRE(request);
    REQUIRE(opened.journal->recordAttempt(request->pending, {"E2", 2, 1500, 0}));  // "norte"
    PendingRequest fresh = pending("f", 0, 0);                                     // "charge", "puerto"
    REQUIRE(opened.journal->recordAccepted(fresh));
  }
  Opened opened(disk, kOriginalNames);
  REQUIRE(opened.good);
  const PendingRequest& order = opened.of("o").pending;
  REQUIRE(order.ambiguousAttempts.size() == 2);
  CHECK(order.ambiguousAttempts[0].zone == 1);
  CHECK(order.ambiguousAttempts[1].zone == 0);
  CHECK(opened.of("f").pending.classIndex == 2);
  CHECK(opened.of("f").pending.tenant == 1);
}

TEST_CASE(
    "no request from a folder of another deployment is sent, even if its numbers exist in the current "
    "settings") {
  Disk disk;
  writeRequests(disk, kOriginalNames);
  const NameTable other{
      {classEntry("mail", Idempotency::kIdempotent), classEntry("scan", Idempotency::kIdempotent),
       classEntry("index", Idempotency::kIdempotent)},
      {"dinas", "sir"},
      {"de"}};
  Opened opened(disk, other);
  REQUIRE(opened.good);
  for (RecoveredRequest& request : opened.found.pending) {
    CHECK_FALSE(mayContinue(request.pending, request.permission, settingsOf(other), {2000, 0, 0}));
    for (const RecordedAttempt& attempt : request.pending.ambiguousAttempts)
      CHECK(attempt.zone == RecordedAttempt::kLostZone);
  }
  // The same classes, but other tenants.
  NameTable tenants = kOriginalNames;
  tenants.tenants = {"dinas", "sir"};
  Opened again(disk, tenants);
  for (RecoveredRequest& request : again.found.pending)
    CHECK_FALSE(mayContinue(request.pending, request.permission, settingsOf(tenants), {2000, 0, 0}));
}

TEST_CASE("a class whose settings changed: an ambiguous request continues only if both settings permit it") {
  const auto loose = classEntry("x", Idempotency::kIdempotent),
             once = classEntry("x", Idempotency::kNonIdempotent);
  const auto keyed = classEntry("x", Idempotency::kIdempotentWithKey),
             zoned = classEntry("x", Idempotency::kIdempotentWithKey, DeduplicationScope::kZone);
  CHECK_FALSE(mayContinueAfterChange(once, loose));
  CHECK_FALSE(mayContinueAfterChange(once, keyed));
  CHECK_FALSE(mayContinueAfterChange(keyed, loose));
  CHECK_FALSE(mayContinueAfterChange(zoned, keyed));
  CHECK(mayContinueAfterChange(keyed, zoned));
  CHECK(mayContinueAfterChange(loose, keyed));
  CHECK_FALSE(mayContinueAfterChange(loose, keyed, ""));  // the endpoint could not detect a duplicate
  CHECK(mayContinueAfterChange(loose, once));             // the dispatcher decides, and does not resend it
  double sentMs = 0;
  const auto shorter =
      classEntry("x", Idempotency::kIdempotentWithKey, DeduplicationScope::kDestination, 1000);
  CHECK(mayContinueAfterChange(shorter, keyed, "k", &sentMs));
  CHECK(sentMs + kIdempotencyWindowMs == 1000 + 1000);  // the window of the recorded settings
  CHECK(mayContinueAfterChange(keyed, shorter, "k", &sentMs));
  CHECK(sentMs == 1000);  // the dispatcher applies the window of the current settings
  CHECK_FALSE(mayContinueAfterChange(shorter, keyed, "k", &sentMs, -1000));  // the wall clock was set back
}

TEST_CASE("the shorter of two idempotency windows still applies after compaction") {
  Disk disk;
  const NameTable then{
      {classEntry("x", Idempotency::kIdempotentWithKey, DeduplicationScope::kDestination, 1000)}, {}, {}},
      now{{classEntry("x", Idempotency::kIdempotentWithKey)}, {}, {}};
  {
    Opened opened(disk, then);
    PendingRequest request = pending("x", 0);
    REQUIRE(opened.journal->recordAccepted(request));
    REQUIRE(opened.journal->recordAttempt(request, {"E1", 0, 1000, 0}));
  }
  for (int start = 0; start < 3; ++start) {
    Opened opened(disk, now, kLimitBytes, Opened::Compaction::kRewritesAll);
    REQUIRE(opened.good);
    RecoveredRequest* request = opened.found.pending.find("x");
    REQUIRE(request);
    CHECK(request->permission.has_value() == (start == 0));
    CHECK(mayContinue(request->pending, request->permission, settingsOf(now), {2000, 0, 0}));
    CHECK(request->pending.ambiguousAttempts.front().sentWallMs == 1000 + 1000 - kIdempotencyWindowMs);
    opened.compact();
  }
}

TEST_CASE("a request accepted under a stricter class stays non-idempotent, also after compaction") {
  const auto loose = classEntry("x", Idempotency::kIdempotent),
             once = classEntry("x", Idempotency::kNonIdempotent);
  const auto keyed = classEntry("x", Idempotency::kIdempotentWithKey),
             zoned = classEntry("x", Idempotency::kIdempotentWithKey, DeduplicationScope::kZone),
             shorter =
                 classEntry("x", Idempotency::kIdempotentWithKey, DeduplicationScope::kDestination, 1000);
  const auto staysNonIdempotent = [](const ClassEntry& then, const ClassEntry& now) {
    Disk disk;
    const NameTable before{{then}, {}, {}}, after{{now}, {}, {}};
    {
      Opened opened(disk, before);
      PendingRequest request = pending("x", 0);
      REQUIRE(opened.journal->recordAccepted(request));
    }
    bool flagged = false;
    for (int start = 0; start < 3; ++start) {
      Opened opened(disk, after, kLimitBytes, Opened::Compaction::kRewritesAll);
      REQUIRE(opened.good);
      RecoveredRequest* request = opened.found.pending.find("x");
      REQUIRE(request);
      CHECK(mayContinue(request->pending, request->permission, settingsOf(after), {2000, 0, 0}));
      if (start > 0) {
        CHECK_FALSE(request->permission.has_value());  // rewritten under the current names
        CHECK(request->pending.nonIdempotent == flagged);
      }
      flagged = request->pending.nonIdempotent;
      opened.compact();
    }
    return flagged;
  };
  CHECK(staysNonIdempotent(once, loose));
  CHECK(staysNonIdempotent(once, keyed));
  CHECK(staysNonIdempotent(keyed, loose));
  CHECK(staysNonIdempotent(zoned, keyed));
  CHECK(staysNonIdempotent(shorter, keyed));
  CHECK_FALSE(staysNonIdempotent(keyed, zoned));
  CHECK_FALSE(staysNonIdempotent(keyed, shorter));
  CHECK_FALSE(staysNonIdempotent(loose, keyed));
  CHECK_FALSE(staysNonIdempotent(loose, once));
  CHECK_FALSE(staysNonIdempotent(loose, loose));
}

TEST_CASE("a folder without name tables is opened with the numbers of the current settings") {
  Disk disk;
  writeRequests(disk, {});
  for (const auto& [path, bytes] : disk.files)
    if (path.ends_with(".seg")) CHECK(readHeader(bytes).version == kUnnamedVersion);
  {
    Opened opened(disk, kReorderedNames);
    REQUIRE(opened.good);
    CHECK(opened.of("s").pending.classIndex == 0);
    CHECK(opened.of("o").pending.ambiguousAttempts.front().zone == 1);
    CHECK_FALSE(opened.of("o").permission.has_value());
    PendingRequest fresh = pending("f", 0);
    REQUIRE(opened.journal->recordAccepted(fresh));
  }
  Opened opened(disk, kOriginalNames);
  CHECK(opened.of("s").pending.classIndex == 0);
  CHECK(opened.of("f").pending.classIndex == 2);  // "charge"
}
