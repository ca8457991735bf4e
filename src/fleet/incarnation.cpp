#include "fleet/incarnation.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cerrno>
#include <cstring>

#include "journal/archive.h"
#include "journal/planner.h"

namespace myrtleloft {
namespace {

constexpr std::string_view kMagic = "MYRTLINC";
constexpr std::uint32_t kVersion = 1;
constexpr const char* kNextName = "incarnation.new";

std::string encode(const Incarnation& incarnation) {
  std::string out(kMagic);
  BufferOutputArchive archive(out);
  archive(kVersion, incarnation.life, incarnation.start);
  archive(static_cast<std::uint64_t>(XXH3_64bits(out.data(), out.size())));
  return out;
}

bool decode(const std::string& bytes, Incarnation& incarnation) try {
  if (bytes.compare(0, kMagic.size(), kMagic) != 0) return false;
  BufferInputArchive in(std::string_view(bytes).substr(kMagic.size()));
  std::uint32_t version = 0;
  in(version, incarnation.life, incarnation.start);
  // Comparing with the encoded form verifies the checksum, the version and the length.
  return bytes == encode(incarnation) && incarnation.life != 0 && incarnation.start != 0;
} catch (const std::exception&) {
  return false;
}

// Returns the disk blocks of the file in bytes, or 0 if it does not exist.
std::size_t blocksOf(Files& files, const std::string& folder, const char* name) {
  const auto seen = files.list(folder);
  if (!seen) return 0;
  for (const FileInfo& file : *seen)
    if (file.name == name) return roundUpToBlocks(file.bytes);
  return 0;
}

// Returns an errno, or 0 if the file is durable under its name.
int keep(const IncarnationParts& parts, const std::string& folder, const Incarnation& incarnation) {
  const std::string path = folder + "/" + kIncarnationName, next = folder + "/" + kNextName;
  // A process that ended while writing left this file.
  if (const std::size_t left = blocksOf(parts.files, folder, kNextName)) {
    if (const auto error = parts.files.remove(next)) return error->number;
    parts.disk.release(left);
  } else {
    parts.files.remove(next);  // an empty file has no blocks; usually there is no file
  }
  const std::size_t before = blocksOf(parts.files, folder, kIncarnationName);
  const std::string bytes = encode(incarnation);
  if (!parts.disk.reserve(roundUpToBlocks(bytes.size()))) return ENOSPC;
  const auto out = parts.files.create(next);
  std::optional<FileError> error;
  if (out) {
    const OutFile::Written written = (*out)->append(bytes);
    error = written.error;
    if (!error) error = written.put == bytes.size() ? (*out)->sync() : FileError{"write", next, EIO};
    if (!error) error = parts.files.rename(next, path);
    if (error) parts.files.remove(next);
  } else {
    error = out.error();
  }
  parts.disk.release(error ? roundUpToBlocks(bytes.size()) : before);
  if (!error) error = parts.files.syncFolder(folder);
  return error ? error->number : 0;
}

}  // namespace

StoredIncarnation nextIncarnation(const IncarnationParts& parts, const std::string& folder,
                                  std::uint64_t salt) {
  StoredIncarnation kept;
  Incarnation before;
  const auto bytes = parts.files.read(folder + "/" + kIncarnationName);
  const int unread = bytes ? 0 : bytes.error().number;
  if (bytes && decode(*bytes, before)) {
    kept.incarnation = {before.life, before.start + 1};
  } else {
    kept.incarnation = {salt, 1};
    if (unread != ENOENT) kept.damage = unread != 0 ? std::strerror(unread) : "invalid contents";
  }
  if (const int fault = keep(parts, folder, kept.incarnation)) {
    kept.fault = std::strerror(fault);
    // The run number may be used again, so the incarnation must not keep the old identifier. If the old file
    // remains, the next run continues from it.
    kept.incarnation = {salt, 1};
  }
  return kept;
}

}  // namespace myrtleloft
