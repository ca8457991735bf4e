#include "discovery/endpoint_cache.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>
#include <utility>

#include "discovery/endpoint_cache_format.h"
#include "journal/planner.h"

namespace myrtleloft {
namespace {

constexpr const char* kNextName = "members.new";

const char* nameOf(CacheOperation operation) {
  switch (operation) {
    case CacheOperation::kCreate:
      return "create";
    case CacheOperation::kReserve:
      return "reserve space for";
    case CacheOperation::kWrite:
      return "write";
    case CacheOperation::kRename:
      return "rename";
    case CacheOperation::kSync:
      return "sync";
  }
  return "";
}

}  // namespace

void EndpointCache::begin() {
  const auto files = parts_.files.list(options_.folder);
  if (!files) return;
  for (const FileInfo& file : *files) {
    if (file.name == kCacheFileName) current_.bytes = file.bytes;
    // An earlier process ended during a rewrite.
    if (file.name == kNextName && !parts_.files.remove(path(kNextName)))
      parts_.disk.release(roundUpToBlocks(file.bytes));
  }
}

void EndpointCache::markChanged(const std::vector<std::string>& uids) {
  dirty_.insert(uids.begin(), uids.end());
  pending_ = pending_ || !uids.empty();
  if (rewrite_ == RewriteState::kAwaitingSync && dirty_.size() > options_.tuning.maxPendingChanges)
    fail({CacheOperation::kSync, ETIMEDOUT});
}

void EndpointCache::markConfirmed(double agoMs) {
  confirmedAt_ = {parts_.clock.wallMs() - agoMs, parts_.clock.machineMs() - agoMs, ""};
  pending_ = true;
}

double EndpointCache::dueMs() const {
  if (!pending_ || rewrite_ == RewriteState::kAwaitingSync) return std::numeric_limits<double>::infinity();
  const CacheTuning& tuning = options_.tuning;
  // The slices of a rewrite follow each other without a pause.
  const double wantedMs =
      needsRewrite() ? 0 : lastCommitMs_ + (dirty_.empty() ? tuning.confirmIntervalMs : tuning.debounceMs);
  return std::max(wantedMs, retryAtMs_);
}

void EndpointCache::step(const EndpointTable& table) {
  if (parts_.clock.steadyMs() < dueMs()) return;
  ++statistics_.slices;
  const bool grown = current_.bytes > baseBytes_ + std::max(baseBytes_, options_.tuning.minGrowthBytes);
  if (needsRewrite() || grown)
    rewrite(table);
  else
    append(table);
}

void EndpointCache::rewrite(const EndpointTable& table) {
  std::string frames;
  const bool begins = rewrite_ == RewriteState::kNone;
  if (begins && !beginRewrite(frames)) return;
  const auto at = begins ? table.all().begin() : table.all().upper_bound(cursor_);
  const bool complete = appendSlice(table, at, frames);
  // Add the endpoints that were changed or removed since their slice was written.
  if (complete) frames += takeDirty(table);
  if (!write(next_, frames)) return;
  if (!complete || !dirty_.empty()) return;
  pending_ = false;
  if (!parts_.syncer) return replace();
  rewrite_ = RewriteState::kAwaitingSync;
  sync();
}

bool EndpointCache::beginRewrite(std::string& frames) {
  next_ = {};
  auto created = parts_.files.create(path(kNextName));
  if (!created) {
    const int error = created.error().number;
    if (error == EEXIST && !parts_.files.remove(path(kNextName)))
      parts_.disk.release(roundUpToBlocks(std::exchange(leftoverBytes_, 0)));
    fail({CacheOperation::kCreate, error});
    return false;
  }
  next_.out = std::move(*created);
  rewrite_ = RewriteState::kWriting;
  cursor_.clear();
  SegmentHeader header;
  header.salt = options_.salt;
  header.sequence = cache_format::kSequence;
  header.createdWallMs = parts_.clock.wallMs();
  frames = encodeHeader(header);
  cache_format::Begin begin{kCacheVersion, parts_.clock.machineRun(), options_.names.zones,
                            options_.names.kinds};
  cache_format::appendFrame(frames, options_.salt, cache_format::Type::kBegin, std::move(begin));
  return true;
}

void EndpointCache::replace() {
  rewrite_ = RewriteState::kWriting;  // so that `fail` discards the new file
  if (const auto error = parts_.files.rename(path(kNextName), path(kCacheFileName)))
    return fail({CacheOperation::kRename, error->number});
  parts_.disk.release(roundUpToBlocks(current_.bytes));
  current_ = std::exchange(next_, {});
  baseBytes_ = current_.bytes;
  rewrite_ = RewriteState::kNone;
  currentIsOwn_ = true;
  renameUnsynced_ = true;
  ++statistics_.rewrites;
  committed();
}

void EndpointCache::append(const EndpointTable& table) {
  if (!write(current_, takeDirty(table)) || !dirty_.empty()) return;
  pending_ = false;
  unsynced_ = true;
  committed();
}

void EndpointCache::committed() {
  lastCommitMs_ = parts_.clock.steadyMs();
  retryMs_ = 0;
  lastError_.reset();
  ++statistics_.commits;
  sync();
}

void EndpointCache::sync() {
  const bool rewritten = rewrite_ == RewriteState::kAwaitingSync;
  if (!parts_.syncer || syncing_ || !(rewritten || unsynced_ || renameUnsynced_)) return;
  SyncJob job;
  if (rewritten) job.files.push_back(next_.out);
  job.position = rewritten ? attempt_ : 0;
  if (std::exchange(unsynced_, false)) job.files.push_back(current_.out);
  job.folder = std::exchange(renameUnsynced_, false);
  syncing_ = true;
  parts_.syncer->submit(std::move(job));
}

void EndpointCache::onSynced() {
  while (const auto done = parts_.syncer->collect()) {
    syncing_ = false;
    // After a failed fdatasync, the success of a later one does not prove that the data is on disk, so the
    // list is rewritten.
    if (done->error)
      fail({CacheOperation::kSync, done->error->number});
    else if (done->position == attempt_)
      replace();
  }
  sync();
}

bool EndpointCache::reserveGrowth(const File& file, std::size_t bytes) {
  const std::size_t grows = roundUpToBlocks(file.bytes + bytes) - roundUpToBlocks(file.bytes);
  // During a rewrite the old file exists too.
  const std::size_t otherBytes = &file == &next_ ? roundUpToBlocks(current_.bytes) : 0;
  return roundUpToBlocks(file.bytes + bytes) + otherBytes <= options_.maxBytes && parts_.disk.reserve(grows);
}

bool EndpointCache::write(File& file, const std::string& frames) {
  if (!reserveGrowth(file, frames.size())) {
    fail({CacheOperation::kReserve, ENOSPC});
    return false;
  }
  const auto [appendedBytes, error] = file.out->append(frames);
  const std::size_t before = file.bytes;
  file.bytes += appendedBytes;
  parts_.disk.release(roundUpToBlocks(before + frames.size()) - roundUpToBlocks(file.bytes));
  statistics_.writtenBytes += appendedBytes;
  if (!error && appendedBytes == frames.size()) return true;
  fail({CacheOperation::kWrite, error ? error->number : 0});
  return false;
}

void EndpointCache::discardNext() {
  next_.out.reset();
  if (!parts_.files.remove(path(kNextName)))
    parts_.disk.release(roundUpToBlocks(next_.bytes));
  else
    leftoverBytes_ = next_.bytes;
  next_ = {};
}

void EndpointCache::fail(const CacheError& error) {
  ++statistics_.faults;
  if (rewrite_ != RewriteState::kNone) discardNext();
  rewrite_ = RewriteState::kNone;
  currentIsOwn_ = false;
  unsynced_ = false;
  renameUnsynced_ = false;
  pending_ = true;
  ++attempt_;
  dirty_.clear();  // the rewrite covers all endpoints; the set must not grow while the disk fails
  current_.out.reset();
  retryMs_ = std::clamp(2 * retryMs_, options_.tuning.minRetryMs, options_.tuning.maxRetryMs);
  retryAtMs_ = parts_.clock.steadyMs() + retryMs_;
  if (error != lastError_) {
    const char* operation = nameOf(error.operation);
    const std::string reason = std::strerror(error.number);
    parts_.log.write(LogLevel::kError, "list.fault",
                     std::string("discovery: cannot ") + operation + " the cached endpoint list: " + reason,
                     {{"what", operation}, {"error", reason}});
  }
  lastError_ = error;
}

}  // namespace myrtleloft
