// Reads what a folder has: the segments and, where it is there, the one file of version 1. It writes nothing;
// the journal at its start and the tools that look into a folder at rest use the same reading.
//
//   const auto found = recover(files, folder);
//   if (!found) ... found.error().message    // and nothing was touched
//   found->pending      the pending requests, as far as they could be read
//   found->corruptions  each damaged part, with file and offset
//
// A damaged part may have contained any record. So for each request whose history spans it:
// - an attempt may be lost: the request comes back with an ambiguous attempt of which neither zone nor time
// is
//   known, the time taken as when the request was accepted; unless a later record shows that no attempt is
//   missing (the next one's number follows, or the complete request was written again);
// - its completion may be lost: it comes back as pending, with the same ambiguous attempt;
// - its acceptance may be lost while later records name it: its body is gone, so it comes back as failed.
//
// One thread for each call.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "journal/errors.h"
#include "journal/files.h"
#include "journal/pending_table.h"
#include "journal/records.h"
#include "journal/result.h"
#include "journal/segment.h"

namespace myrtleloft {

constexpr const char* kVersionOneName = "journal";

struct Corruption {
  std::string file;
  std::size_t offset = 0;
  std::size_t bytes = 0;
  std::string what;  // "damaged", "missing", "cut off"
};

struct SegmentInfo {
  std::uint64_t sequence = 0;
  std::size_t fileBytes = 0;  // on the disk
  // How much of it is the journal's, damaged parts included; only a torn end is not. The next segment's
  // header states it: left out there, damage would be forgotten by the start after the next.
  std::size_t validBytes = 0;
  std::size_t headBytes = kSegmentHeaderBytes;  // the header, and the names and the clock behind it
  std::size_t records = 0;                      // without names and clock
  double createdWallMs = 0;
  bool headerGood = true;
  bool named = false;  // states what its numbers mean, or did so where now is damage
  bool stale = false;  // before the first that is still needed, or torn in its header: may be removed
};

struct Recovered {
  PendingTable pending;
  std::vector<SegmentInfo> segments;  // by sequence
  std::vector<Corruption> corruptions;
  std::uint64_t firstSegment = 1;          // the oldest still needed
  std::uint64_t salt = 0;                  // 0: no segment states one
  std::uint64_t convertedFingerprint = 0;  // the newest fingerprint that any segment names
  bool versionOne = false;                 // a version 1 file is there and not yet taken over
  std::uint64_t versionOneFingerprint = 0;
  std::size_t torn = 0;           // bytes of a record cut off by the end of the process
  std::size_t madeAmbiguous = 0;  // requests that got an ambiguous attempt because of damage
  std::size_t bodiesLost = 0;     // requests of which only the name is left
  std::size_t records = 0;
  std::vector<FileInfo> others;       // files that are no segments
  std::vector<NameTable> nameTables;  // each that any segment states, once
};

// Called for each record, in the order in which they were written.
using RecordVisitor =
    std::function<void(std::uint64_t segment, std::size_t offset, std::size_t bytes, const Record& record)>;

struct RecoveryOptions {
  // What the numbers of what is found shall mean; null: what they meant in the segment, as the tools show
  // them.
  const NameTable* names = nullptr;
  // By which clock its times shall be, where they can; null: as they were recorded.
  const ClockAnchor* clock = nullptr;
  RecordVisitor visit = nullptr;
};

// O(bytes of the folder); has one segment in memory at a time beside what is pending. An error: a file could
// not be read, or has a format that this program does not know.
Result<Recovered, JournalError> recover(Files& files, const std::string& folder,
                                        const RecoveryOptions& options = {});

}  // namespace myrtleloft
