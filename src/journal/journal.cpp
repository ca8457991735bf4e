#include "journal/journal.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "journal/segment.h"

namespace myrtleloft {
namespace {

constexpr const char* kTakeOver = "journal.takeover";
constexpr const char* kOldLeftover = "journal.new";  // of a version 1 process that ended while compacting
constexpr std::size_t kMostReleased = 4;             // segments removed in one slice
constexpr std::size_t kEndsAtOnce = 64;
constexpr std::size_t kLookAtClock = 16;  // records of a slice between two looks

std::size_t recordBytes(const OwedRequest& owed) { return kFrameBytes + encodedSize(owed); }

}  // namespace

Journal::Journal(const Parts& parts, JournalOptions options)
    : parts_(parts), options_(std::move(options)), planner_(options_.tuning) {
  if (options_.segmentBytes == 0) options_.segmentBytes = planner_.segmentBytes(options_.diskBytes);
}

Journal::~Journal() = default;

bool Journal::fault(const char* what, const std::string& name, int error) {
  ++figures_.faults;
  const double now = parts_.clock.steadyMs();
  restUntilMs_ = now + planner_.tuning().restMs;
  parts_.log.repeated(now, LogLevel::kError, "journal.fault",
                      std::string("journal: cannot ") + what + ' ' + name + ": " + std::strerror(error),
                      {{"what", what}, {"file", name}, {"error", std::strerror(error)}});
  return false;
}

bool Journal::resting() const { return parts_.clock.steadyMs() < restUntilMs_; }

// ---- opening ----
bool Journal::open(Recovered& found, std::string& error) {
  std::string owner = options_.owner + "\n";
  if (const int fault = parts_.files.lock(path(kLockName), owner, lock_)) {
    while (!owner.empty() && owner.back() == '\n') owner.pop_back();
    error = fault == EWOULDBLOCK
                ? "the journal in " + options_.folder + " is held by another process: " + owner
                : "cannot lock the journal in " + options_.folder + ": " + std::strerror(fault);
    return false;
  }
  if (const RecoveryFault fault = recover(parts_.files, options_.folder, found)) {
    error = "the journal cannot be read: " + fault.text;
    return false;
  }
  for (const Damage& d : found.damage)
    parts_.log.write(LogLevel::kError, "journal.damage",
                     "journal: " + d.file + " is " + d.what + " at byte " + std::to_string(d.offset) + ", " +
                         std::to_string(d.bytes) + " bytes",
                     {{"file", d.file}, {"offset", d.offset}, {"bytes", d.bytes}, {"what", d.what}});
  if (!found.damage.empty())
    parts_.log.write(LogLevel::kError, "journal.doubt",
                     "journal: damage put " + std::to_string(found.doubted) +
                         " requests in doubt, and left only the name of " + std::to_string(found.bodiesLost),
                     {{"doubted", found.doubted}, {"bodies_lost", found.bodiesLost}});
  const std::vector<Spoilt> spoilt = readDamage(found);
  adopt(found);
  if (found.versionOne && !takeOver(found, error)) return false;
  for (const FileSeen& other : found.others) {
    const bool old = other.name == kJournalV1, leftover = other.name == kOldLeftover;
    if (!old && !leftover) continue;
    if (const int fault = parts_.files.remove(path(other.name))) {
      this->fault("remove", other.name, fault);
      continue;
    }
    if (old) tookOver_ = 0;
    used_ -= inBlocks(other.bytes);
  }
  if (!active_) {
    if (const int fault = begin()) {
      error = "cannot write the journal in " + options_.folder + ": " + std::strerror(fault);
      return false;
    }
  }
  writeNameless(found);
  keepDamage(found, spoilt);
  measureCarry();
  return true;
}

// Takes what was read as the state of the folder.
void Journal::adopt(Recovered& found) {
  salt_ = found.salt != 0 ? found.salt : std::max<std::uint64_t>(1, options_.salt);
  tookOver_ = found.tookOver;
  releasedTold_ = found.firstSegment;
  for (const FileSeen& other : found.others) {
    if (other.name == kTakeOver && parts_.files.remove(path(other.name)) == 0) continue;
    used_ += inBlocks(other.bytes);
  }
  for (const SegmentSeen& seen : found.segments) {
    const bool last = seen.sequence == found.segments.back().sequence;
    // Nothing stands in it: its number is given again. Otherwise each restart would leave a segment.
    const bool empty =
        seen.stale || (seen.headerGood && seen.fileBytes == kSegmentHeaderBytes && seen.records == 0);
    if (last && empty && parts_.files.remove(path(segmentName(seen.sequence))) == 0) break;
    Segment& segment = segments_.emplace_back();
    segment.sequence = seen.sequence;
    segment.bytes = seen.validBytes;
    segment.fileBytes = seen.fileBytes;
    used_ += inBlocks(seen.fileBytes);
  }
  for (RecoveredRequest& request : found.owed) {
    const std::uint32_t ticket = request.owed.ticket = newEntry();
    Entry& entry = entries_[ticket];
    entry.owed = &request.owed;
    // How much of its reserve it has used is not known; its end is always kept.
    entry.reserve = static_cast<std::uint32_t>(planner_.tuning().lastReserve);
    reserved_ += entry.reserve;
    ++unsettled_;
    if (Segment* segment = segmentOf(request.segment)) {
      link(ticket, *segment);
      setLive(entry, recordBytes(request.owed));
    }
  }
}

// The requests of a version 1 file, into a segment of their own. It gets its name only when it is whole, and
// names the old file by its fingerprint: a process that ends before the old file is gone does not read it
// again.
bool Journal::takeOver(Recovered& found, std::string& error) {
  tookOver_ = found.versionOneFingerprint;
  const SegmentHeader header = nextHeader();
  std::string bytes = encodeHeader(header);
  for (const RecoveredRequest& request : found.owed) {
    if (request.segment != 0) continue;
    const std::size_t at = openFrame(bytes);
    encode(request.owed, bytes);
    closeFrame(bytes, at, header.salt, header.sequence);
  }
  const auto refuse = [&](int fault) {
    error = "cannot take over the journal of version 1 in " + options_.folder + ": " + std::strerror(fault);
    return false;
  };
  if (used_ + inBlocks(bytes.size()) > options_.diskBytes) return refuse(ENOSPC);
  std::shared_ptr<OutFile> out;
  int fault = parts_.files.create(path(kTakeOver), out);
  if (!fault) fault = out->append(bytes).fault;
  if (!fault) fault = out->sync();
  if (!fault) fault = parts_.files.rename(path(kTakeOver), path(segmentName(header.sequence)));
  if (fault) {
    parts_.files.remove(path(kTakeOver));
    return refuse(fault);
  }
  Segment& segment = segments_.emplace_back();
  segment.sequence = header.sequence;
  segment.bytes = segment.fileBytes = bytes.size();
  used_ += inBlocks(bytes.size());
  active_ = std::move(out);
  newNames_ = true;
  for (RecoveredRequest& request : found.owed) {
    if (request.segment != 0) continue;
    request.segment = header.sequence;
    link(request.owed.ticket, segment);
    setLive(entries_[request.owed.ticket], recordBytes(request.owed));
  }
  parts_.log.write(
      LogLevel::kInfo, "journal.taken-over",
      "journal: taken over from version 1, " + std::to_string(found.owed.size()) + " requests owed",
      {{"owed", found.owed.size()}});
  return true;
}

// Those of which only the name is left stand in no record of their own yet.
void Journal::writeNameless(Recovered& found) {
  if (found.bodiesLost == 0) return;
  for (RecoveredRequest& request : found.owed) {
    if (request.segment != 0) continue;
    Entry& entry = entries_[request.owed.ticket];
    if (!record(request.owed, nullptr, 0, 0)) return;
    request.segment = segments_.back().sequence;
    link(request.owed.ticket, segments_.back());
    setLive(entry, recordBytes(request.owed));
  }
}

// The damaged bytes themselves, as far as they may be kept. Read before anything is removed.
std::vector<Journal::Spoilt> Journal::readDamage(const Recovered& found) {
  const std::size_t most = planner_.damageBytes(options_.diskBytes);
  std::vector<Spoilt> all;
  for (const Damage& d : found.damage) {
    if (d.bytes == 0 || all.size() >= planner_.tuning().mostDamaged) continue;
    std::string bytes;
    if (parts_.files.read(path(d.file), bytes) != 0 || d.offset >= bytes.size()) continue;
    const auto sequence = segmentSequence(d.file);
    all.push_back({kDamagedPrefix + (sequence ? hexDigits(*sequence, 16) : std::string("v1")) + "-" +
                       hexDigits(d.offset, 8),
                   bytes.substr(d.offset, std::min(d.bytes, most / 2))});
  }
  return all;
}

void Journal::keepDamage(const Recovered& found, const std::vector<Spoilt>& all) {
  const std::size_t most = planner_.damageBytes(options_.diskBytes);
  std::vector<FileSeen> kept;
  std::size_t total = 0;
  for (const FileSeen& other : found.others) {
    if (!other.name.starts_with(kDamagedPrefix)) continue;
    kept.push_back(other);
    total += inBlocks(other.bytes);
  }
  for (const auto& [name, bytes] : all) {
    if (std::any_of(kept.begin(), kept.end(), [&](const FileSeen& k) { return k.name == name; })) continue;
    while (!kept.empty() &&
           (total + inBlocks(bytes.size()) > most || kept.size() >= planner_.tuning().mostDamaged)) {
      if (parts_.files.remove(path(kept.front().name)) != 0) return;
      total -= inBlocks(kept.front().bytes);
      used_ -= inBlocks(kept.front().bytes);
      kept.erase(kept.begin());
    }
    if (total + inBlocks(bytes.size()) > most || !planner_.permits(room(), bytes.size(), 0)) return;
    std::shared_ptr<OutFile> out;
    if (const int error = parts_.files.create(path(name), out)) {
      fault("create", name, error);
      return;
    }
    const auto [put, error] = out->append(bytes);
    used_ += inBlocks(put);
    total += inBlocks(put);
    kept.push_back({name, put});
    if (error) {
      fault("write", name, error);
      return;
    }
    parts_.log.write(LogLevel::kWarning, "journal.kept-damage", "journal: kept the damaged bytes in " + name,
                     {{"file", name}});
  }
}

SegmentHeader Journal::nextHeader() const {
  SegmentHeader header;
  header.sequence = segments_.empty() ? releasedTold_ : segments_.back().sequence + 1;
  header.salt = salt_;
  header.createdWallMs = parts_.clock.wallMs();
  header.firstSegment = segments_.empty() ? header.sequence : segments_.front().sequence;
  header.firstSegment = std::max(header.firstSegment, releasedTold_);
  header.previousBytes = segments_.empty() ? 0 : segments_.back().bytes;
  header.tookOver = tookOver_;
  return header;
}

int Journal::begin() {
  const SegmentHeader header = nextHeader();
  const std::string name = segmentName(header.sequence), bytes = encodeHeader(header);
  if (!planner_.fits(room(), inBlocks(bytes.size()))) return ENOSPC;
  std::shared_ptr<OutFile> out;
  int error = parts_.files.create(path(name), out);
  // Left by an earlier try; nothing stands in it.
  if (error == EEXIST && parts_.files.remove(path(name)) == 0) error = parts_.files.create(path(name), out);
  if (!error) error = out->append(bytes).fault;
  if (error) {
    fault("begin", name, error);
    if (out) parts_.files.remove(path(name));
    return error;
  }
  Segment& segment = segments_.emplace_back();
  segment.sequence = header.sequence;
  segment.bytes = segment.fileBytes = bytes.size();
  used_ += inBlocks(bytes.size());
  figures_.writtenBytes += bytes.size();
  active_ = std::move(out);
  broken_ = false;
  wrote(bytes.size());
  newNames_ = true;
  return 0;
}

void Journal::wrote(std::size_t bytes) {
  position_ += bytes;
  if (!parts_.syncer) return;
  if (unsynced_.empty() || unsynced_.back() != active_) unsynced_.push_back(active_);
}

void Journal::sync() {
  if (!parts_.syncer || syncing_ || unsynced_.empty()) return;
  // What a failed sync left uncertain is safe only when it has been written anew: no promise before that.
  if (distrusted()) return;
  SyncJob job{std::exchange(unsynced_, {}), std::exchange(newNames_, false), position_};
  syncing_ = true;
  parts_.syncer->submit(std::move(job));
}

bool Journal::collect() {
  if (!parts_.syncer) return true;
  bool good = true;
  while (const auto done = parts_.syncer->collect()) {
    syncing_ = false;
    if (done->fault == 0) {
      durable_ = done->position;
      continue;
    }
    good = false;
    fault("sync", options_.folder, done->fault);
    // After a failed fdatasync the kernel may count the pages as clean: another one would say yes to bytes
    // that are nowhere. They are written anew, into another file. Which requests had a record there is not
    // known, so it is all that is held.
    distrustTo_ = segments_.back().sequence;
    broken_ = true;
  }
  sync();
  return good;
}

// The first segment that a failed sync left uncertain and in which something is live.
Journal::Segment* Journal::distrusted() {
  if (distrustTo_ == 0) return nullptr;
  for (Segment& segment : segments_)
    if (segment.sequence <= distrustTo_ && segment.first != kNone) return &segment;
  distrustTo_ = 0;
  return nullptr;
}

void Journal::settle(OwedRequest& owed) {
  entries_[owed.ticket].owed = &owed;
  --unsettled_;
}

// ---- records ----
bool Journal::taken(OwedRequest& owed) {
  const std::size_t bytes = recordBytes(owed);
  if (resting() || distrustTo_ != 0 || bytes > kLongestRecord) return false;
  writeEnds();
  // An id that comes again must not meet the *ended* of its predecessor behind it.
  if (!endsOwed_.empty()) return false;
  if (!planner_.admits(room(), bytes)) {
    // The bound on what is to carry may be an old one.
    measureCarry();
    if (!planner_.admits(room(), bytes)) return false;
  }
  if (!record(owed, nullptr, 0, 0)) return false;
  figures_.takenBytes += bytes;
  owed.ticket = newEntry();
  Entry& entry = entries_[owed.ticket];
  entry.owed = &owed;
  entry.reserve = static_cast<std::uint32_t>(planner_.tuning().perRequestReserve);
  reserved_ += entry.reserve;
  link(owed.ticket, segments_.back());
  setLive(entry, bytes);
  return true;
}

// Writes one record. Of a request's, what its reserve allows down to `keep`, or what is free besides; `grows`
// is by how much the request's whole record grows with it.
template <typename R>
bool Journal::record(const R& record, Entry* entry, std::size_t grows, std::size_t keep) {
  scratch_.clear();
  openFrame(scratch_);
  encode(record, scratch_);
  const std::size_t bytes = scratch_.size();
  if (!ready(bytes)) return false;
  const bool reserved = entry && entry->reserve >= bytes + grows + keep;
  // The last of its records are written as long as they fit at all.
  if (entry && keep > 0 && !reserved && !planner_.permits(room(), bytes, grows)) return false;
  closeFrame(scratch_, 0, salt_, segments_.back().sequence);
  if (!write(scratch_)) return false;
  if (reserved) {
    entry->reserve -= static_cast<std::uint32_t>(bytes + grows);
    reserved_ -= bytes + grows;
  }
  return true;
}

bool Journal::attempt(OwedRequest& owed, Doubt doubt) {
  doubt.attempt = owed.attempts;
  writeEnds();
  const std::size_t grows = encodedSize(doubt);
  Entry& entry = entries_[owed.ticket];
  AttemptRecord made{owed.id, std::move(doubt)};
  if (!record(made, &entry, grows, planner_.tuning().lastReserve)) return false;
  ++owed.attempts;
  owed.doubts.push_back(std::move(made.doubt));
  setLive(entry, entry.live + grows);
  return true;
}

bool Journal::harmless(OwedRequest& owed) {
  if (owed.doubts.empty()) return true;
  const Doubt doubt = std::move(owed.doubts.back());
  owed.doubts.pop_back();
  Entry& entry = entries_[owed.ticket];
  setLive(entry, entry.live - std::min<std::size_t>(entry.live, encodedSize(doubt)));
  return record(HarmlessRecord{owed.id, doubt.attempt}, &entry, 0, planner_.tuning().lastReserve);
}

bool Journal::verdict(OwedRequest& owed, Verdict verdict, double waitMs) {
  owed.verdict = verdict;
  owed.waitMs = waitMs;
  owed.body.clear();
  owed.body.shrink_to_fit();
  Entry& entry = entries_[owed.ticket];
  if (entry.live > 0) setLive(entry, recordBytes(owed));
  return record(VerdictRecord{owed.id, verdict, waitMs}, &entry, 0, 0);
}

bool Journal::ended(OwedRequest& owed) {
  const std::uint32_t ticket = std::exchange(owed.ticket, kNone);
  if (ticket == kNone) return true;
  Entry& entry = entries_[ticket];
  setLive(entry, 0);
  unlink(ticket);
  reserved_ -= entry.reserve;
  entry = Entry();
  entry.behind = std::exchange(freeEntry_, ticket);
  endsOwed_.push_back(owed.id);
  writeEnds();
  return endsOwed_.empty();
}

// As many at once as keep the loop for a moment only: after a fault, thousands may wait.
void Journal::writeEnds() {
  for (std::size_t i = 0; i < kEndsAtOnce && !endsOwed_.empty(); ++i) {
    if (!record(EndedRecord{endsOwed_.front()}, nullptr, 0, 0)) return;
    endsOwed_.pop_front();
  }
}

bool Journal::ready(std::size_t bytes) {
  const Segment& last = segments_.back();
  const bool full = last.bytes + bytes > options_.segmentBytes && last.bytes > kSegmentHeaderBytes;
  if (active_ && !broken_ && !full) return true;
  // A disk that has no room for another segment may have some in this one.
  return begin() == 0 || (active_ && !broken_);
}

bool Journal::write(std::string_view frames) {
  Segment& segment = segments_.back();
  const std::size_t grows = inBlocks(segment.bytes + frames.size()) - inBlocks(segment.bytes);
  if (!planner_.fits(room(), grows)) return false;
  const auto [put, error] = active_->append(frames);
  if (error == 0 && put == frames.size()) {
    segment.bytes = segment.fileBytes = segment.bytes + put;
    used_ += grows;
    sinceSlice_ += put;
    figures_.writtenBytes += put;
    wrote(put);
    return true;
  }
  fault("write", segmentName(segment.sequence), error);
  // Half a record in the middle would look like damage: cut it off, or write no more to this segment. The
  // header of the next one then says where this one ends.
  if (put > 0 && active_->truncate(segment.bytes) != 0) {
    broken_ = true;
    segment.fileBytes = segment.bytes + put;
    used_ += inBlocks(segment.fileBytes) - inBlocks(segment.bytes);
  }
  return false;
}

bool Journal::take(std::size_t bytes) {
  if (bytes > 0 && !planner_.permits(room(), bytes, 0)) return false;
  used_ += bytes;
  return true;
}

// ---- compaction ----
JournalRoom Journal::room() const {
  JournalRoom room;
  room.disk = options_.diskBytes;
  room.used = used_;
  room.live = live_;
  room.reserved = reserved_;
  room.carry = carry_;
  room.segmentBytes = options_.segmentBytes;
  room.segments = segments_.size();
  if (!segments_.empty()) room.oldestLive = segments_.front().live;
  room.sinceSlice = sinceSlice_;
  return room;
}

bool Journal::wantsSlice() const {
  if (!endsOwed_.empty()) return true;
  return unsettled_ == 0 && (distrustTo_ != 0 || planner_.slice(room()) > 0);
}

bool Journal::slice() {
  if (unsettled_ > 0) return true;
  if (resting()) return false;
  writeEnds();
  if (Segment* segment = distrusted()) {
    ++figures_.slices;
    const bool good = carry(*segment, planner_.tuning().mostSlice);
    if (!distrusted()) sync();
    return good;
  }
  const std::size_t most = planner_.slice(room());
  if (most == 0) return true;
  sinceSlice_ = 0;
  ++figures_.slices;
  bool good = true;
  if (segments_.front().first != kNone) good = carry(segments_.front(), most);
  for (std::size_t i = 0; good && i < kMostReleased; ++i) {
    if (segments_.size() < 2 || segments_.front().first != kNone) break;
    // What was carried over must be as safe as what it came from, before that goes.
    if (segments_.front().carriedAt > durable()) break;
    good = removeOldest();
  }
  measureCarry();
  return good;
}

// Writes a segment's requests anew, as they stand now. What stood of them before then counts no
// more: a reading that meets both takes the later one.
bool Journal::carry(Segment& segment, std::size_t most) {
  const std::uint64_t sequence = segment.sequence;
  const std::uint32_t from = segment.first;
  if (!ready(entries_[from].live)) return false;
  if (segments_.back().sequence == sequence) return true;
  const std::size_t left = options_.segmentBytes - std::min(options_.segmentBytes, segments_.back().bytes);
  std::vector<std::pair<std::uint32_t, std::size_t>> moved;
  const double untilMs = parts_.clock.steadyMs() + planner_.tuning().mostSliceMs;
  scratch_.clear();
  for (std::uint32_t at = from; at != kNone; at = entries_[at].behind) {
    const std::size_t bytes = recordBytes(*entries_[at].owed);
    if (!moved.empty() && scratch_.size() + bytes > std::min(most, left)) break;
    if (moved.size() % kLookAtClock == kLookAtClock - 1 && parts_.clock.steadyMs() > untilMs) break;
    const std::size_t frame = openFrame(scratch_);
    encode(*entries_[at].owed, scratch_);
    closeFrame(scratch_, frame, salt_, segments_.back().sequence);
    moved.emplace_back(at, bytes);
  }
  if (!write(scratch_)) return false;
  figures_.carriedBytes += scratch_.size();
  segmentOf(sequence)->carriedAt = position_;
  for (const auto& [ticket, bytes] : moved) {
    Entry& entry = entries_[ticket];
    setLive(entry, 0);
    unlink(ticket);
    link(ticket, segments_.back());
    setLive(entry, bytes);
    // All of it stands in one record again: what its attempts used up of the reserve is given back, if there
    // is room.
    const std::size_t full = planner_.tuning().perRequestReserve;
    if (entry.reserve >= full) continue;
    JournalRoom after = room();
    after.reserved += full - entry.reserve;
    if (planner_.free(after) == 0) continue;
    reserved_ = after.reserved;
    entry.reserve = static_cast<std::uint32_t>(full);
  }
  return true;
}

bool Journal::removeOldest() {
  const std::uint64_t next = segments_.front().sequence + 1;
  // Recorded first, so that a segment missing for any other reason is known to be missing. Where even that
  // finds no room on the disk, removing is what makes some: then it is recorded afterwards.
  const auto tell = [&] {
    if (releasedTold_ < next && record(ReleasedRecord{next}, nullptr, 0, 0)) releasedTold_ = next;
  };
  tell();
  const std::string name = segmentName(segments_.front().sequence);
  const int error = parts_.files.remove(path(name));
  if (error != 0 && error != ENOENT) return fault("remove", name, error);
  used_ -= inBlocks(segments_.front().fileBytes);
  segments_.pop_front();
  ++figures_.released;
  tell();
  return true;
}

// ---- what is held, by segment ----
Journal::Segment* Journal::segmentOf(std::uint64_t sequence) {
  const auto at =
      std::lower_bound(segments_.begin(), segments_.end(), sequence,
                       [](const Segment& s, std::uint64_t wanted) { return s.sequence < wanted; });
  return at != segments_.end() && at->sequence == sequence ? &*at : nullptr;
}

std::uint32_t Journal::newEntry() {
  if (freeEntry_ == kNone) {
    entries_.emplace_back();
    return static_cast<std::uint32_t>(entries_.size() - 1);
  }
  const std::uint32_t ticket = freeEntry_;
  freeEntry_ = std::exchange(entries_[ticket].behind, kNone);
  return ticket;
}

void Journal::link(std::uint32_t ticket, Segment& segment) {
  Entry& entry = entries_[ticket];
  entry.segment = segment.sequence;
  entry.before = segment.last;
  entry.behind = kNone;
  (segment.last == kNone ? segment.first : entries_[segment.last].behind) = ticket;
  segment.last = ticket;
}

void Journal::unlink(std::uint32_t ticket) {
  Entry& entry = entries_[ticket];
  Segment* segment = segmentOf(entry.segment);
  if (!segment) return;
  (entry.before == kNone ? segment->first : entries_[entry.before].behind) = entry.behind;
  (entry.behind == kNone ? segment->last : entries_[entry.behind].before) = entry.before;
  entry.before = entry.behind = kNone;
  entry.segment = 0;
}

void Journal::setLive(Entry& entry, std::size_t live) {
  Segment* segment = segmentOf(entry.segment);
  if (!segment) return;
  segment->live += live - entry.live;
  live_ += live - entry.live;
  entry.live = static_cast<std::uint32_t>(live);
  carry_ = std::max(carry_, segment->live);
}

void Journal::measureCarry() {
  carry_ = 0;
  for (const Segment& segment : segments_) carry_ = std::max(carry_, segment.live);
}

}  // namespace myrtleloft
