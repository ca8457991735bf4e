#include "discovery/cached_list.h"

#include <cerrno>
#include <cstring>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "discovery/endpoint_cache_format.h"

namespace myrtleloft {
namespace {

// Translates an index into the names of the file to an index into `names`. Returns std::nullopt if the file
// has no such index, or `names` does not contain the name.
std::optional<int> indexIn(const std::vector<std::string>& names, const std::vector<std::string>& fileNames,
                           std::int32_t index) {
  if (index < 0 || static_cast<std::size_t>(index) >= fileNames.size()) return std::nullopt;
  return indexOf(names, fileNames[static_cast<std::size_t>(index)]);
}

// Reads the records up to and including the last commit into a CachedList.
class CacheReader {
 public:
  CacheReader(std::string_view bytes, std::uint64_t salt, const IndexNames* names, CachedList& found)
      : bytes_(bytes), salt_(salt), names_(names), found_(found) {}

  // Returns false, with the fault set, if the file is unusable.
  bool run() {
    if (!findLastCommit()) return false;
    SegmentScanner scanner(bytes_.substr(0, end_), salt_, cache_format::kSequence,
                           SegmentScanner::kUnknownEnd);
    for (Piece piece = scanner.next(); piece.kind != Piece::Kind::kEnd; piece = scanner.next())
      if (!apply(piece.payload)) return fail(CacheFault::Reason::kUnreadableRecord, piece.offset);
    if (endpoints_.size() + found_.unknownNames != commit_.endpoints)
      return fail(CacheFault::Reason::kWrongCount, end_);
    found_.list.revision = commit_.revision;
    found_.list.complete = true;
    for (auto& [uid, endpoint] : endpoints_) found_.list.endpoints.push_back(std::move(endpoint));
    found_.confirmedAt = {commit_.wallMs, commit_.machineMs, begin_.machineRun};
    found_.usable = true;
    return true;
  }

 private:
  bool fail(CacheFault::Reason reason, std::size_t offset) {
    found_.fault = CacheFault{reason, offset};
    return false;
  }

  // Sets `end_`. Returns false, with the fault set, if the file is corrupt or has no commit.
  bool findLastCommit() {
    SegmentScanner scanner(bytes_, salt_, cache_format::kSequence, SegmentScanner::kUnknownEnd);
    std::size_t seen = kSegmentHeaderBytes;
    for (Piece piece = scanner.next(); piece.kind != Piece::Kind::kEnd; piece = scanner.next()) {
      if (piece.kind == Piece::Kind::kCorruptBytes) return fail(CacheFault::Reason::kCorrupt, piece.offset);
      seen = piece.offset + piece.bytes;
      if (piece.kind == Piece::Kind::kRecord &&
          piece.payload.front() == static_cast<char>(cache_format::Type::kCommit))
        end_ = seen;
    }
    if (end_ == 0) return fail(CacheFault::Reason::kNoCommit, seen);
    if (end_ == seen) return true;
    found_.complete = false;
    found_.fault = CacheFault{CacheFault::Reason::kCutOff, end_};
    return true;
  }

  // Applies one record. Returns false if it is malformed.
  bool apply(std::string_view payload) {
    switch (static_cast<cache_format::Type>(payload.front())) {
      case cache_format::Type::kBegin:
        if (!cache_format::read(payload, begin_) || begin_.version > kCacheVersion) return false;
        found_.names = {begin_.zones, begin_.kinds};
        return true;
      case cache_format::Type::kPut: {
        std::vector<cache_format::Endpoint> endpoints;
        if (!cache_format::read(payload, endpoints)) return false;
        for (const cache_format::Endpoint& endpoint : endpoints)
          if (!put(endpoint)) return false;
        return true;
      }
      case cache_format::Type::kRemove: {
        std::vector<std::string> removedUids;
        if (!cache_format::read(payload, removedUids)) return false;
        for (const std::string& uid : removedUids) remove(uid);
        return true;
      }
      case cache_format::Type::kCommit:
        return cache_format::read(payload, commit_);
    }
    return false;
  }

  void remove(const std::string& uid) {
    endpoints_.erase(uid);
    found_.unknownNames -= unknown_.erase(uid);
  }

  // Adds an endpoint or replaces the one of the same uid. Returns false if the record is malformed.
  bool put(const cache_format::Endpoint& stored) {
    remove(stored.uid);
    EndpointRecord endpoint;
    const auto address = parseAddress(stored.address);
    if (!address || stored.uid.empty()) return false;
    endpoint.address = *address;
    endpoint.info.endpoint = stored.uid;
    const IndexNames& names = names_ ? *names_ : found_.names;
    const auto zone = indexIn(names.zones, begin_.zones, stored.zone);
    const auto kind = indexIn(names.kinds, begin_.kinds, stored.kind);
    if (!zone || !kind) {
      found_.unknownNames += unknown_.insert(stored.uid).second ? 1 : 0;
      return true;
    }
    endpoint.info.zone = *zone;
    endpoint.info.kind = *kind;
    endpoint.info.destination = stored.destination;
    endpoint.info.state = stored.draining ? EndpointState::kDraining : EndpointState::kRunning;
    endpoint.info.rating = stored.rating;
    endpoint.announcedWallMs = stored.announcedWallMs;
    endpoint.drainingSinceWallMs = stored.drainingSinceWallMs;
    endpoint.announcedByDelta = stored.announcedByDelta;
    endpoint.missing = stored.missing;
    endpoints_.emplace(stored.uid, std::move(endpoint));
    return true;
  }

  std::string_view bytes_;
  std::uint64_t salt_;
  const IndexNames* names_;
  CachedList& found_;
  std::size_t end_ = 0;  // the offset after the last commit
  cache_format::Begin begin_;
  cache_format::Commit commit_;
  std::map<std::string, EndpointRecord> endpoints_;  // by uid
  std::set<std::string> unknown_;                    // uids whose zone or kind is not configured
};

}  // namespace

std::string describe(const CacheFault& fault) {
  const std::string atByte = " at byte " + std::to_string(fault.number);
  switch (fault.reason) {
    case CacheFault::Reason::kRead:
      return std::strerror(static_cast<int>(fault.number));
    case CacheFault::Reason::kUnknownVersion:
      return "format version " + std::to_string(fault.number) + " is not supported";
    case CacheFault::Reason::kHeader:
      return "corrupt header";
    case CacheFault::Reason::kCorrupt:
      return "damage" + atByte;
    case CacheFault::Reason::kNoCommit:
      return "no complete list committed" + atByte;
    case CacheFault::Reason::kUnreadableRecord:
      return "unreadable record" + atByte;
    case CacheFault::Reason::kWrongCount:
      return "number of endpoints differs from the committed one" + atByte;
    case CacheFault::Reason::kCutOff:
      return "truncated" + atByte;
  }
  return "";
}

CachedList readCachedList(Files& files, const std::string& folder, const IndexNames* names) {
  CachedList found;
  const auto read = files.read(folder + "/" + kCacheFileName);
  if (!read) {
    const int error = read.error().number;
    if (error != ENOENT)
      found.fault = CacheFault{CacheFault::Reason::kRead, static_cast<std::uint64_t>(error)};
    return found;
  }
  const std::string& bytes = *read;
  found.fileBytes = bytes.size();
  const HeaderState header = readHeader(bytes);
  if (header.kind == HeaderState::Kind::kNewer)
    found.fault = CacheFault{CacheFault::Reason::kUnknownVersion, header.version};
  else if (header.kind != HeaderState::Kind::kGood)
    found.fault = CacheFault{CacheFault::Reason::kHeader, 0};
  else if (!CacheReader(bytes, header.header.salt, names, found).run())
    found.list = {};
  return found;
}

}  // namespace myrtleloft
