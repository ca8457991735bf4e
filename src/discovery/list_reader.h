// Parses discovery's answer in slices, so that a long list does not block the event loop.
//
//   ListReader reader(std::move(body), names);
//   if (!reader.step(kSliceBytes)) ...  // call again in the next iteration of the loop
//   const ListResult result = reader.take();
//
// The reader finds where each entry of `targets` begins and ends, and has the JSON library parse the entries
// one by one, and finally the text around them. It is therefore as strict as readList on the complete text.
// In addition, an entry longer than kMaxEntryBytes is an error.
//
// Not thread-safe. No I/O. A step is O(its bytes + one entry), `take` is O(text around the entries).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_list.h"

namespace myrtleloft {

class ListReader {
 public:
  static constexpr std::size_t kMaxEntryBytes = std::size_t{64} * 1024;

  // `names` must outlive the reader.
  ListReader(std::string body, const IndexNames& names);

  // Reads up to `bytes` more bytes. Returns true if the answer has been read completely or an error was
  // found.
  bool step(std::size_t bytes);
  // Returns the complete list or the first error. Call once, after `step` has returned true.
  ListResult take();

 private:
  enum class Phase { kBeforeEntries, kEntries, kAfterEntries };
  // The token before the current byte, as far as it matters for finding the array `targets`.
  enum class Preceding { kOther, kTargetsName, kTargetsColon };
  // What may follow between two entries.
  enum class Expected { kEntryOrEnd, kEntry, kCommaOrEnd };

  // Handles the byte at `at_`, which is not inside a string.
  void readStructure(char character);
  // The same for a byte between two entries.
  void betweenEntries(char character);
  // Handles the end of a string.
  void closeString();
  // Has the JSON library parse the entry that ends at `at_`.
  void readEntry();
  void fail(ListError::Reason reason, std::string detail = {});

  std::string body_;
  const IndexNames& names_;
  Phase phase_ = Phase::kBeforeEntries;
  Preceding preceding_ = Preceding::kOther;
  Expected expected_ = Expected::kEntryOrEnd;
  // These four are offsets in `body_`.
  std::size_t at_ = 0;
  std::size_t stringStart_ = 0;
  std::size_t entriesStart_ = 0;
  std::size_t entryStart_ = 0;
  std::size_t depth_ = 0;  // the number of open brackets
  bool inString_ = false;
  bool escaped_ = false;  // whether the byte before `at_` was a backslash that escapes it
  std::vector<EndpointRecord> endpoints_;
  std::optional<ListError> error_;
};

}  // namespace myrtleloft
