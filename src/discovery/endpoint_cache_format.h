// The records of the cache file, for its reader and its writer.
//
// The file has the form of a journal segment: a header with a salt, then checksummed frames. A frame's
// payload is a type byte and a record's fields in the order of its serialize function; that order and the
// types' letters are the format, and change only with kCacheVersion. No shared state.
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

// The first record: in which run of the machine the file was written, and what its indexes mean.
struct Begin {
  std::uint32_t version = kCacheVersion;
  std::string machineRun;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};
// One endpoint; replaces an earlier record of its uid. Fields as in EndpointRecord.
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
// The records before it are a complete list: its revision, when discovery confirmed it, and its length.
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

inline constexpr std::uint64_t kSequence = 0;  // no segment of the journal has it
inline constexpr std::size_t kEndpointsPerFrame = 32;

// The first byte of a payload.
enum class Type : char { kBegin = 'B', kPut = 'P', kGone = 'G', kCommit = 'C' };

// Appends the record as a frame. O(size).
template <typename T>
void appendFrame(std::string& out, std::uint64_t salt, Type type, T record) {
  const std::size_t at = openFrame(out);
  out += static_cast<char>(type);
  BufferOutputArchive archive(out);
  archive(record);
  closeFrame(out, at, salt, kSequence);
}

// Reads a frame's payload behind its type; false: it is not of that form, and the record's content
// unspecified.
template <typename T>
bool read(std::string_view payload, T& record) try {
  BufferInputArchive archive(payload.substr(1));
  archive(record);
  return archive.left() == 0;
} catch (const std::exception&) {
  return false;
}

}  // namespace myrtleloft::cache_format
