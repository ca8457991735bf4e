// Checks the planner's guarantees, and the encoding of records and segments, with random input from
// RapidCheck.
#include "journal/planner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "journal/records.h"
#include "journal/segment.h"

using namespace myrtleloft;

namespace {

// A model of a journal that has only the sizes of segments and of their live records.
struct Model {
  struct Segment {
    std::size_t bytes = 0;
    std::vector<std::size_t> live;
  };

  Model(std::size_t disk, std::size_t segmentBytes, std::size_t head)
      : disk(disk), segmentBytes(segmentBytes), head(head), segments{{head, {}}} {}

  DiskUsage usage() const {
    DiskUsage usage;
    usage.disk = disk;
    usage.segmentBytes = segmentBytes;
    usage.headBytes = head;
    usage.reserved = reserved;
    usage.segments = segments.size();
    for (const Segment& segment : segments) {
      std::size_t live = 0;
      for (const std::size_t bytes : segment.live) live += bytes;
      usage.used += roundUpToBlocks(segment.bytes);
      usage.live += live;
      usage.largestLive = std::max(usage.largestLive, live);
      if (&segment == &segments.front()) usage.oldestLive = live;
    }
    usage.appendedSinceStep = since;
    return usage;
  }
  void append(std::size_t bytes) {
    if (segments.back().bytes + bytes > segmentBytes && segments.back().bytes > head)
      segments.push_back({head, {}});
    segments.back().bytes += bytes;
    since += bytes;
  }

  std::size_t disk, segmentBytes, head;
  std::size_t reserved = 0, since = 0;
  std::deque<Segment> segments;
};

}  // namespace

TEST_CASE("all admitted requests can be completed and rewritten within the disk budget") {
  const bool holds = rc::check([] {
    const JournalPlanner planner;
    const auto disk = *rc::gen::inRange<std::size_t>(62500, 3000000);
    // The names of classes, tenants and zones at the front of each segment, up to what settings may have.
    const std::size_t head =
        std::max(kSegmentHeaderBytes, *rc::gen::element<std::size_t>(0, 500, disk / 64, disk / 32));
    Model model(disk, std::max(planner.segmentBytes(disk), 4 * head), head);
    const auto seed = *rc::gen::inRange<unsigned>(0, 1u << 30);
    std::mt19937 random(seed);
    const std::size_t largest = *rc::gen::element<std::size_t>(100, 700, 5000, 66000);
    for (int step = 0; step < 400; ++step) {
      const std::size_t bytes = 60 + random() % largest;
      if (random() % 3 > 0 && planner.admits(model.usage(), bytes)) {
        model.append(bytes);
        model.segments.back().live.push_back(bytes);
        model.reserved += planner.tuning().perRequestReserve;
      } else {
        Model::Segment& segment = model.segments[random() % model.segments.size()];
        if (segment.live.empty()) continue;
        segment.live.erase(segment.live.begin() +
                           static_cast<std::ptrdiff_t>(random() % segment.live.size()));
        model.reserved -= planner.tuning().perRequestReserve;
        model.append(60);
      }
      // The worst case: all reserves are used at once, in small records, without any compaction.
      Model worst = model;
      for (std::size_t left = model.reserved; left > 0; left -= std::min<std::size_t>(left, 128))
        worst.append(std::min<std::size_t>(left, 128));
      RC_ASSERT(worst.usage().used <= disk);
      // Even then the oldest segment can be rewritten before it is deleted.
      if (worst.segments.size() > 1) {
        for (const std::size_t live : worst.segments.front().live) worst.append(live);
        RC_ASSERT(worst.usage().used <= disk);
      }
      // A compaction step, as in the journal.
      std::size_t most = planner.stepBytes(model.usage());
      model.since = 0;
      while (most > 0 && model.segments.size() > 1) {
        Model::Segment& oldest = model.segments.front();
        if (oldest.live.empty()) {
          model.segments.pop_front();
          break;
        }
        const std::size_t live = oldest.live.back();
        oldest.live.pop_back();
        model.append(live);
        model.segments.back().live.push_back(live);
        most -= std::min(most, live);
      }
      RC_ASSERT(model.usage().used <= disk);
    }
  });
  CHECK(holds);
}

TEST_CASE("with any free share, no compaction pass copies all live records for a negligible gain") {
  JournalTuning tuning;
  tuning.freeShare = 1;
  const JournalPlanner planner(tuning);
  DiskUsage usage;
  usage.disk = 44000000;
  usage.segmentBytes = 256 * 1024;
  usage.segments = 60;
  usage.live = usage.oldestLive = 13600000;
  usage.largestLive = usage.segmentBytes;
  const std::size_t fixed = usage.live + usage.segments * (kDiskBlock + kSegmentHeaderBytes);
  usage.used = fixed + usage.live / 10;
  CHECK(planner.stepBytes(usage) == 0);
  usage.used = fixed + usage.live / 7;
  CHECK(planner.stepBytes(usage) > 0);
}

TEST_CASE("compaction stops when it cannot free any space") {
  const bool holds = rc::check([] {
    const JournalPlanner planner;
    const auto disk = *rc::gen::inRange<std::size_t>(62500, 3000000);
    // The names of classes, tenants and zones at the front of each segment, up to what settings may have.
    const std::size_t head =
        std::max(kSegmentHeaderBytes, *rc::gen::element<std::size_t>(0, 500, disk / 64, disk / 32));
    Model model(disk, std::max(planner.segmentBytes(disk), 4 * head), head);
    while (planner.admits(model.usage(), 700)) {
      model.append(700);
      model.segments.back().live.push_back(700);
      model.reserved += planner.tuning().perRequestReserve;
    }
    // The space for requests is at least 35% of the disk budget, as in version 1.
    RC_ASSERT(model.usage().live + model.reserved >= disk * 35 / 100);
    std::size_t steps = 0;
    while (planner.stepBytes(model.usage()) > 0 && model.segments.size() > 1) {
      RC_ASSERT(++steps < 10 * model.segments.size() + 100);
      for (const std::size_t live : std::exchange(model.segments.front().live, {})) {
        model.append(live);
        model.segments.back().live.push_back(live);
      }
      model.segments.pop_front();
    }
  });
  CHECK(holds);
}

TEST_CASE("each record is decoded as it was encoded, and encodedSize predicts its size") {
  const bool holds = rc::check([](const std::string& id, const std::string& key, const std::string& body) {
    PendingRequest request;
    request.id = id;
    request.key = key;
    request.body = body;
    request.classIndex = *rc::gen::arbitrary<int>();
    request.destination = *rc::gen::arbitrary<std::int64_t>();
    request.deadlineWallMs = *rc::gen::arbitrary<double>();
    request.isRetry = *rc::gen::arbitrary<bool>();
    request.nonIdempotent = *rc::gen::arbitrary<bool>();
    request.attempts = *rc::gen::inRange(0, 12);
    request.status = *rc::gen::element(FinalStatus::kUndecided, FinalStatus::kFailed, FinalStatus::kReturned);
    for (int i = 0; i < request.attempts / 3; ++i) request.ambiguousAttempts.push_back({id, i, 5.5 * i, i});
    std::string bytes;
    encode(request, bytes);
    RC_ASSERT(bytes.size() == encodedSize(request));
    const std::optional<Record> record = decode(bytes);
    RC_ASSERT(record.has_value());
    const PendingRequest& back = std::get<AcceptedRecord>(*record).pending;
    RC_ASSERT(back.id == request.id && back.key == request.key && back.body == request.body &&
              back.classIndex == request.classIndex);
    RC_ASSERT(back.destination == request.destination && back.deadlineWallMs == request.deadlineWallMs);
    RC_ASSERT(back.status == request.status && back.attempts == request.attempts &&
              back.isRetry == request.isRetry && back.nonIdempotent == request.nonIdempotent);
    RC_ASSERT(back.ambiguousAttempts.size() == request.ambiguousAttempts.size());
    // A truncated record, or one followed by another byte, is invalid.
    for (std::size_t size = 0; size < bytes.size(); ++size)
      RC_ASSERT(!decode(std::string_view(bytes).substr(0, size)));
    RC_ASSERT(!decode(bytes + "x"));
  });
  CHECK(holds);
}

TEST_CASE("scanning arbitrary bytes terminates, and finds only frames with this folder's salt") {
  const bool holds = rc::check([](const std::string& noise, std::uint64_t salt) {
    std::string bytes = encodeHeader({1, salt, 0, 1, 0, 0}) + noise;
    const std::size_t at = openFrame(bytes);
    encode(CompletedRecord{"x"}, bytes);
    closeFrame(bytes, at, salt, 1);
    bytes += noise;
    std::size_t records = 0, read = kSegmentHeaderBytes;
    SegmentScanner scanner(bytes, salt, 1, SegmentScanner::kUnknownEnd);
    for (Piece p = scanner.next(); p.kind != Piece::Kind::kEnd; p = scanner.next()) {
      records += p.kind == Piece::Kind::kRecord;
      RC_ASSERT(p.offset == read);
      read += p.bytes;
    }
    RC_ASSERT(read == bytes.size());
    RC_ASSERT(records == 1);
    SegmentScanner other(bytes, salt + 1, 1, SegmentScanner::kUnknownEnd);
    RC_ASSERT(other.next().kind != Piece::Kind::kRecord);
  });
  CHECK(holds);
}
