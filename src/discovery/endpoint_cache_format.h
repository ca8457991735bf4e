// The record types of the cache file, for its reader (cached_list.h) and its writer (endpoint_cache.h).
//
// The file has the format of a journal segment: a header with a salt, followed by checksummed frames. The
// payload of a frame is a type byte and the fields of the record in the order of its serialize function. That
// order and the type bytes are part of the format, and may change only together with kCacheVersion.
//
// Thread-safe: there is no shared state.
#pragma once

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/cached_list.h"
#include "journal/archive.h"
#include "journal/segment.h"

namespace myrtleloft::cache_format {

// The first record of the file: the boot of the machine in which the file was written, and the names that the
// indexes of zones and kinds refer to.
struct Begin {
  std::uint32_t version = kCacheVersion;
  std::string machineRun;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};
// One endpoint; replaces an earlier record of the same uid. The fields are those of EndpointRecord.
struct Endpoint {
  std::string uid;
  std::string address;
  std::int32_t zone = 0;
  std::int32_t kind = 0;
  std::int64_t destination = 0;
  double rating = 1;
  double announcedWallMs = 0;
  double drainingSinceWallMs = 0;
  bool draining = false;
  bool announcedByDelta = false;
  bool missing = false;
};
// States that the records before it form a complete list: its revision, when discovery confirmed it, and its
// number of endpoints.
struct Commit {
  std::int64_t revision = 0;
  double wallMs = 0;
  double machineMs = 0;
  std::uint64_t endpoints = 0;
};

template <typename Archive>
void serialize(Archive& archive, Begin& begin) {
  archive(begin.version, begin.machineRun, begin.zones, begin.kinds);
}
template <typename Archive>
void serialize(Archive& archive, Endpoint& endpoint) {
  archive(endpoint.uid, endpoint.address, endpoint.zone, endpoint.kind, endpoint.destination, endpoint.rating,
          endpoint.announcedWallMs, endpoint.drainingSinceWallMs, endpoint.draining,
          endpoint.announcedByDelta, endpoint.missing);
}
template <typename Archive>
void serialize(Archive& archive, Commit& commit) {
  archive(commit.revision, commit.wallMs, commit.machineMs, commit.endpoints);
}

inline constexpr std::uint64_t kSequence = 0;  // a sequence number that no journal segment has
inline constexpr std::size_t kEndpointsPerFrame = 32;

// The first byte of a payload. kRemove records hold the uids of endpoints that were removed.
enum class Type : char { kBegin = 'B', kPut = 'P', kRemove = 'G', kCommit = 'C' };

// Appends the record as a frame. O(size).
template <typename T>
void appendFrame(std::string& out, std::uint64_t salt, Type type, T record) {
  const std::size_t at = openFrame(out);
  out += static_cast<char>(type);
  BufferOutputArchive archive(out);
  archive(record);
  closeFrame(out, at, salt, kSequence);
}

// Decodes the payload of a frame, without its type byte. Returns false if the payload is malformed; the
// content of `record` is then unspecified.
template <typename T>
bool read(std::string_view payload, T& record) try {
  BufferInputArchive archive(payload.substr(1));
  archive(record);
  return archive.left() == 0;
} catch (const std::exception&) {
  return false;
}

}  // namespace myrtleloft::cache_format
