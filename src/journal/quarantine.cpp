#include "journal/quarantine.h"

#include <algorithm>
#include <memory>

#include "journal/segment.h"

namespace myrtleloft {
namespace {

constexpr const char* kQuarantinePrefix = "damaged-";

std::string quarantineName(const Corruption& corruption) {
  const auto sequence = segmentSequence(corruption.file);
  return kQuarantinePrefix + (sequence ? hexDigits(*sequence, 16) : std::string("v1")) + "-" +
         hexDigits(corruption.offset, 8);
}

}  // namespace

Quarantine::Quarantine(const Parts& parts)
    : parts_(parts), maxBytes_(parts.planner.quarantineBytes(parts.options.diskBytes)) {}

void Quarantine::read(const Recovered& found) {
  for (const Corruption& corruption : found.corruptions) {
    if (corruption.bytes == 0 || corrupt_.size() >= parts_.planner.tuning().maxQuarantinedFiles) continue;
    const auto bytes = parts_.files.read(parts_.options.path(corruption.file));
    if (!bytes || corruption.offset >= bytes->size()) continue;
    corrupt_.push_back({quarantineName(corruption),
                        bytes->substr(corruption.offset, std::min(corruption.bytes, maxBytes_ / 2))});
  }
}

void Quarantine::store(const Recovered& found) {
  for (const FileInfo& other : found.others) {
    if (!other.name.starts_with(kQuarantinePrefix)) continue;
    stored_.push_back(other);
    storedBytes_ += roundUpToBlocks(other.bytes);
  }
  for (const CorruptBytes& corrupt : corrupt_) {
    const auto isStored = [&](const FileInfo& file) { return file.name == corrupt.name; };
    if (std::any_of(stored_.begin(), stored_.end(), isStored)) continue;
    if (!makeSpace(corrupt.bytes.size()) || !write(corrupt)) return;
    parts_.log.write(LogLevel::kWarning, "journal.quarantined",
                     "journal: quarantined the damaged bytes in " + corrupt.name, {{"file", corrupt.name}});
  }
}

bool Quarantine::makeSpace(std::size_t bytes) {
  const std::size_t maxFiles = parts_.planner.tuning().maxQuarantinedFiles;
  while (!stored_.empty() &&
         (storedBytes_ + roundUpToBlocks(bytes) > maxBytes_ || stored_.size() >= maxFiles)) {
    const FileInfo& oldest = stored_.front();
    if (parts_.files.remove(parts_.options.path(oldest.name))) return false;
    storedBytes_ -= roundUpToBlocks(oldest.bytes);
    parts_.writer.removeUsed(roundUpToBlocks(oldest.bytes));
    stored_.erase(stored_.begin());
  }
  return storedBytes_ + roundUpToBlocks(bytes) <= maxBytes_ &&
         parts_.planner.permits(parts_.writer.usage(), bytes, 0);
}

bool Quarantine::write(const CorruptBytes& corrupt) {
  const auto file = parts_.files.create(parts_.options.path(corrupt.name));
  if (!file) {
    parts_.faults.report({"create", corrupt.name, file.error().number});
    return false;
  }
  const auto [put, error] = (*file)->append(corrupt.bytes);
  parts_.writer.addUsed(roundUpToBlocks(put));
  storedBytes_ += roundUpToBlocks(put);
  stored_.push_back({corrupt.name, put});
  if (!error) return true;
  parts_.faults.report({"write", corrupt.name, error->number});
  return false;
}

}  // namespace myrtleloft
