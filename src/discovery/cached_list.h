// Reads the endpoint list that an earlier process cached in the state folder. endpoint_cache.h writes the
// file.
//
//   const CachedList cached = readCachedList(files, folder, &names);
//   if (cached.fault) log(describe(*cached.fault));
//   if (cached.usable) use(cached.list, cached.confirmedAt);
//
// If the process ended while it was appending, the uncommitted records at the end of the file are ignored:
// the list is the one of the last commit, and is marked as not complete. Any other corruption makes the whole
// file unusable, because the corrupt part may have recorded a drain or a removal.
//
// Thread-safe: there is no shared state, and the file is only read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "discovery/endpoint_list.h"
#include "discovery/freshness.h"
#include "journal/files.h"

namespace myrtleloft {

constexpr const char* kCacheFileName = "members";
constexpr std::uint32_t kCacheVersion = 1;

// Why a cache file cannot be used, or can be used only up to its last commit.
struct CacheFault {
  enum class Reason {
    kRead,              // the file could not be read; `number` is the errno
    kUnknownVersion,    // the file has a newer format; `number` is its version
    kHeader,            // the header is corrupt
    kCorrupt,           // the file contains bytes that are neither records nor an unfinished append
    kNoCommit,          // no complete list was committed
    kUnreadableRecord,  // a record does not have the format of its type
    kWrongCount,        // the number of endpoints differs from the number that the commit states
    kCutOff             // the file is usable up to offset `number`; the records after it were not committed
  };
  Reason reason = Reason::kRead;
  std::uint64_t number = 0;  // the byte offset in the file, unless the reason gives another meaning
};
// Describes the fault for logs, such as "damage at byte 300".
std::string describe(const CacheFault& fault);

struct CachedList {
  bool usable = false;
  bool complete = true;             // false if the latest changes may be missing from the list
  std::optional<CacheFault> fault;  // also set for a list that is usable but not complete
  EndpointList list;                // `list.complete` is true: it is a complete list, not a delta
  Stamp confirmedAt;                // when discovery last confirmed the list
  IndexNames names;                 // the zones and kinds as named in the file
  std::size_t fileBytes = 0;
  std::size_t unknownNames = 0;  // number of endpoints left out because their zone or kind is not configured
};

// Reads the cache file in `folder`. Zones and kinds in the returned list are indexes into `names`, which are
// those of the configuration; if `names` is nullptr, they are indexes into the names in the file. If the file
// does not exist, returns an unusable list without a fault. O(bytes).
CachedList readCachedList(Files& files, const std::string& folder, const IndexNames* names);

}  // namespace myrtleloft
