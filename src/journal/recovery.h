// Recovers the state of a journal from its folder: from the segments and, if present, the single file of
// format version 1. Writes nothing. Used by the journal at its start and by the tools that inspect a folder.
//
//   const auto found = recover(files, folder);
//   if (!found) ... found.error().message
//   found->pending      the pending requests, as far as they could be read
//   found->corruptions  each damaged part, with file and offset
//
// A damaged part may have contained any record. Therefore, for each request that may have had a record in it:
//
// - An attempt may be lost. The request is recovered with an additional ambiguous attempt whose zone is
//   unknown and whose time is that at which the request was accepted. The attempt is not added if a later
//   record shows that none is missing: the next attempt has the next number, or the complete request was
//   written again.
// - Its completion may be lost. The request is recovered as pending, with the same ambiguous attempt.
// - Its accepted record may be lost while later records refer to it. Without its body the request cannot be
//   sent, so it is recovered as failed.
//
// Thread-safe for different folders; O(bytes in the folder).
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
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

// A damaged or missing part of a file. A missing segment has offset and size 0.
struct Corruption {
  std::string file;
  std::size_t offset = 0;
  std::size_t bytes = 0;
  std::string what;  // "damaged", "missing", "cut off"
};

// What recovery found out about a segment.
struct SegmentInfo {
  std::uint64_t sequence = 0;
  std::size_t fileBytes = 0;  // size of the file
  // Length of the valid content. Includes damaged parts, and excludes only a torn record at the end. The
  // header of the next segment records this length. Damaged parts must be included so that later starts still
  // detect them.
  std::size_t validBytes = 0;
  std::size_t headBytes = kSegmentHeaderBytes;  // size of the header, the names and the clock
  std::size_t records = 0;                      // number, without those of names and clock
  double createdWallMs = 0;
  bool headerGood = true;
  bool named = false;  // has a name table, or must have had one before it was damaged
  bool stale = false;  // can be deleted: older than the first needed segment, or has a torn header
};

// The result of recovery.
struct Recovered {
  static constexpr std::size_t kMaxCompleted = 8192;

  PendingTable pending;
  // Completed requests with an attempt that may have been executed, without their bodies, as far as the
  // segments still have their records: the newest kMaxCompleted, in the order of completion.
  std::deque<PendingRequest> completed;
  std::vector<SegmentInfo> segments;  // sorted by sequence number
  std::vector<Corruption> corruptions;
  std::uint64_t firstSegment = 1;          // the oldest segment that is still needed
  std::uint64_t salt = 0;                  // 0 if no segment header has one
  std::uint64_t convertedFingerprint = 0;  // of a converted version 1 file; from the newest header with one
  bool versionOne = false;                 // there is a version 1 file that has not been converted yet
  std::uint64_t versionOneFingerprint = 0;
  std::size_t torn = 0;           // bytes of records that were incomplete when the process ended
  std::size_t madeAmbiguous = 0;  // number of requests with an ambiguous attempt added because of damage
  std::size_t bodiesLost = 0;     // number of requests of which only the id could be recovered
  std::size_t records = 0;
  std::vector<FileInfo> others;       // files that are not segments
  std::vector<NameTable> nameTables;  // each distinct table found in the segments
};

// Called for each record, in the order of writing.
using RecordVisitor =
    std::function<void(std::uint64_t segment, std::size_t offset, std::size_t bytes, const Record& record)>;

struct RecoveryOptions {
  // The names to which the recovered numbers are translated. If null, numbers are returned as recorded, as
  // the tools show them.
  const NameTable* names = nullptr;
  // The clock to which recovered times are converted where possible. If null, times are returned as recorded.
  const ClockAnchor* clock = nullptr;
  RecordVisitor visit = nullptr;
};

// Recovers the state of the journal in `folder`. Fails if a file cannot be read or has an unknown format
// version. Cost: O(bytes in the folder); holds one segment in memory at a time, in addition to the pending
// requests.
Result<Recovered, JournalError> recover(Files& files, const std::string& folder,
                                        const RecoveryOptions& options = {});

}  // namespace myrtleloft
