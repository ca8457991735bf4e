#include "discovery/kept_list.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>
#include <map>
#include <utility>

#include "journal/archive.h"
#include "journal/planner.h"
#include "journal/segment.h"

namespace myrtleloft {

// ---- what stands in the file ----
struct KeptBegin {
  std::uint32_t version = kKeptVersion;
  std::string machineRun;
  std::vector<std::string> zones, kinds;
};
struct KeptEndpoint {
  std::string uid, address;
  std::int32_t zone = 0, kind = 0;
  std::int64_t destination = 0;
  double rating = 1, toldWallMs = 0, drainsSinceWallMs = 0;
  bool drains = false, byChange = false, missing = false;
};
struct KeptCommit {
  std::int64_t rev = 0;
  double wallMs = 0, machineMs = 0;
  std::uint64_t endpoints = 0;
};

template <typename Archive>
void serialize(Archive& ar, KeptBegin& b) {
  ar(b.version, b.machineRun, b.zones, b.kinds);
}
template <typename Archive>
void serialize(Archive& ar, KeptEndpoint& e) {
  ar(e.uid, e.address, e.zone, e.kind, e.destination, e.rating, e.toldWallMs, e.drainsSinceWallMs, e.drains,
     e.byChange, e.missing);
}
template <typename Archive>
void serialize(Archive& ar, KeptCommit& c) {
  ar(c.rev, c.wallMs, c.machineMs, c.endpoints);
}

namespace {

constexpr const char* kNextName = "members.new";
constexpr std::uint64_t kSequence = 0;  // no segment of the journal has it
constexpr std::size_t kPerFrame = 32;   // endpoints in one frame

enum class Type : char { kBegin = 'B', kPut = 'P', kGone = 'G', kCommit = 'C' };

template <typename T>
void frame(std::string& out, std::uint64_t salt, Type type, T record) {
  const std::size_t at = openFrame(out);
  out += static_cast<char>(type);
  TextOut archive(out);
  archive(record);
  closeFrame(out, at, salt, kSequence);
}

template <typename T>
bool get(std::string_view payload, T& record) try {
  TextIn in(payload.substr(1));
  in(record);
  return in.left() == 0;
} catch (const std::exception&) {
  return false;
}

KeptEndpoint stored(const EndpointEntry& e) {
  KeptEndpoint k;
  k.uid = uidOf(e.entry.target);
  k.address = e.address.text;
  k.zone = e.entry.zone;
  k.kind = e.entry.kind;
  k.destination = e.entry.destination;
  k.rating = e.entry.rating;
  k.toldWallMs = e.toldWallMs;
  k.drainsSinceWallMs = e.drainsSinceWallMs;
  k.drains = e.entry.state == RouteState::kStopping;
  k.byChange = e.byChange;
  k.missing = e.missing;
  return k;
}

// The index in `names` of what stands under `index` in the file's own names.
std::optional<int> indexIn(const std::vector<std::string>& names, const std::vector<std::string>& own,
                           std::int32_t index) {
  if (index < 0 || static_cast<std::size_t>(index) >= own.size()) return std::nullopt;
  return indexOf(names, own[static_cast<std::size_t>(index)]);
}

class Reading {
 public:
  Reading(std::string_view bytes, std::uint64_t salt, const ListNames* names, KeptFound& found)
      : bytes_(bytes), salt_(salt), names_(names), found_(found) {}

  bool run() {
    if (!findLastCommit()) return false;
    SegmentScanner scanner(bytes_.substr(0, end_), salt_, kSequence, SegmentScanner::kUnknownEnd);
    for (Piece piece = scanner.next(); piece.kind != Piece::Kind::kEnd; piece = scanner.next())
      if (!take(piece.payload)) return spoilt("an unreadable record", piece.offset);
    if (read_.size() + found_.unknownNames != commit_.endpoints) return spoilt("a wrong count", end_);
    found_.list.rev = commit_.rev;
    found_.list.all = true;
    for (auto& [uid, endpoint] : read_) found_.list.endpoints.push_back(std::move(endpoint));
    found_.told = {commit_.wallMs, commit_.machineMs, begin_.machineRun};
    found_.there = true;
    return true;
  }

 private:
  bool spoilt(const char* what, std::size_t offset) {
    found_.fault = std::string(what) + " at byte " + std::to_string(offset);
    return false;
  }

  bool findLastCommit() {
    SegmentScanner scanner(bytes_, salt_, kSequence, SegmentScanner::kUnknownEnd);
    std::size_t seen = kSegmentHeaderBytes;
    for (Piece piece = scanner.next(); piece.kind != Piece::Kind::kEnd; piece = scanner.next()) {
      if (piece.kind == Piece::Kind::kHole) return spoilt("damage", piece.offset);
      seen = piece.offset + piece.bytes;
      if (piece.kind == Piece::Kind::kRecord && piece.payload.front() == static_cast<char>(Type::kCommit))
        end_ = seen;
    }
    if (end_ == 0) return spoilt("no whole list", seen);
    if (end_ == seen) return true;
    found_.whole = false;
    found_.fault = "cut off at byte " + std::to_string(end_);
    return true;
  }

  bool take(std::string_view payload) {
    switch (static_cast<Type>(payload.front())) {
      case Type::kBegin:
        if (!get(payload, begin_) || begin_.version > kKeptVersion) return false;
        found_.names = {begin_.zones, begin_.kinds};
        return true;
      case Type::kPut: {
        std::vector<KeptEndpoint> endpoints;
        if (!get(payload, endpoints)) return false;
        for (const KeptEndpoint& e : endpoints)
          if (!put(e)) return false;
        return true;
      }
      case Type::kGone: {
        std::vector<std::string> gone;
        if (!get(payload, gone)) return false;
        for (const std::string& uid : gone) remove(uid);
        return true;
      }
      case Type::kCommit:
        return get(payload, commit_);
    }
    return false;
  }

  void remove(const std::string& uid) {
    read_.erase(uid);
    found_.unknownNames -= unknown_.erase(uid);
  }

  bool put(const KeptEndpoint& e) {
    remove(e.uid);
    EndpointEntry entry;
    const auto address = parseAddress(e.address);
    if (!address || e.uid.empty()) return false;
    entry.address = *address;
    entry.entry.target = e.uid;
    const ListNames& names = names_ ? *names_ : found_.names;
    const auto zone = indexIn(names.zones, begin_.zones, e.zone);
    const auto kind = indexIn(names.kinds, begin_.kinds, e.kind);
    if (!zone || !kind) {
      found_.unknownNames += unknown_.insert(e.uid).second;
      return true;
    }
    entry.entry.zone = *zone;
    entry.entry.kind = *kind;
    entry.entry.destination = e.destination;
    entry.entry.state = e.drains ? RouteState::kStopping : RouteState::kRunning;
    entry.entry.rating = e.rating;
    entry.toldWallMs = e.toldWallMs;
    entry.drainsSinceWallMs = e.drainsSinceWallMs;
    entry.byChange = e.byChange;
    entry.missing = e.missing;
    read_.emplace(e.uid, std::move(entry));
    return true;
  }

  std::string_view bytes_;
  std::uint64_t salt_;
  const ListNames* names_;
  KeptFound& found_;
  std::size_t end_ = 0;  // of the last commit
  KeptBegin begin_;
  KeptCommit commit_;
  std::map<std::string, EndpointEntry> read_;
  std::set<std::string> unknown_;
};

}  // namespace

KeptFound readKept(Files& files, const std::string& folder, const ListNames* names) {
  KeptFound found;
  std::string bytes;
  const int fault = files.read(folder + "/" + kKeptName, bytes);
  if (fault == ENOENT) return found;
  if (fault != 0) {
    found.fault = std::strerror(fault);
    return found;
  }
  found.fileBytes = bytes.size();
  const HeaderState header = readHeader(bytes);
  if (header.kind == HeaderState::Kind::kNewer)
    found.fault = "format version " + std::to_string(header.version) + " is not known";
  else if (header.kind != HeaderState::Kind::kGood)
    found.fault = "a damaged header";
  else if (!Reading(bytes, header.header.salt, names, found).run())
    found.list = {};
  return found;
}

// ---- writing ----
void KeptList::begin() {
  std::vector<FileSeen> files;
  if (parts_.files.list(options_.folder, files) != 0) return;
  for (const FileSeen& file : files) {
    if (file.name == kKeptName) current_.bytes = file.bytes;
    // Left by a process that ended while it wrote.
    if (file.name == kNextName && parts_.files.remove(path(kNextName)) == 0)
      parts_.disk.giveBack(inBlocks(file.bytes));
  }
}

void KeptList::changed(const std::vector<std::string>& uids) {
  dirty_.insert(uids.begin(), uids.end());
  pending_ = pending_ || !uids.empty();
  if (written_ && dirty_.size() > options_.tuning.mostWaiting) fail("sync", ETIMEDOUT);
}

void KeptList::confirmed(double agoMs) {
  told_ = {parts_.clock.wallMs() - agoMs, parts_.clock.machineMs() - agoMs, ""};
  pending_ = true;
}

double KeptList::dueMs() const {
  if (!pending_ || written_) return std::numeric_limits<double>::infinity();
  const KeptTuning& t = options_.tuning;
  // Once a slice is written, the rest of it follows as soon as the loop has turned.
  const double wanted =
      rewriting_ || !mine_ ? 0 : lastCommitMs_ + (dirty_.empty() ? t.confirmMs : t.debounceMs);
  return std::max(wanted, restUntilMs_);
}

void KeptList::step(const DestinationSet& set) {
  if (parts_.clock.steadyMs() < dueMs()) return;
  ++figures_.slices;
  const bool grown = current_.bytes > baseBytes_ + std::max(baseBytes_, options_.tuning.leastGrowth);
  if (rewriting_ || !mine_ || grown)
    rewrite(set);
  else
    append(set);
}

void KeptList::rewrite(const DestinationSet& set) {
  std::string frames;
  const bool begins = !rewriting_;
  if (begins) {
    next_ = {};
    if (const int error = parts_.files.create(path(kNextName), next_.out)) {
      if (error == EEXIST && parts_.files.remove(path(kNextName)) == 0)
        parts_.disk.giveBack(inBlocks(std::exchange(leftover_, 0)));
      return fail("create", error);
    }
    rewriting_ = true;
    cursor_.clear();
    SegmentHeader header;
    header.salt = options_.salt;
    header.sequence = kSequence;
    header.createdWallMs = parts_.clock.wallMs();
    frames = encodeHeader(header);
    KeptBegin begin{kKeptVersion, parts_.clock.machineRun(), options_.names.zones, options_.names.kinds};
    frame(frames, options_.salt, Type::kBegin, std::move(begin));
  }
  std::vector<KeptEndpoint> some;
  std::size_t left = options_.tuning.endpointsPerSlice;
  const auto put = [&] {
    if (!some.empty()) frame(frames, options_.salt, Type::kPut, std::exchange(some, {}));
  };
  auto at = begins ? set.all().begin() : set.all().upper_bound(cursor_);
  for (; at != set.all().end() && left > 0; ++at, --left) {
    some.push_back(stored(at->second));
    cursor_ = at->first;
    dirty_.erase(at->first);
    if (some.size() == kPerFrame) put();
  }
  put();
  // Changed since they were written, or gone: what the list has by now.
  const bool whole = at == set.all().end();
  if (whole) frames += takeDirty(set);
  if (!write(next_, frames)) return;
  if (!whole || !dirty_.empty()) return;
  pending_ = false;
  if (!parts_.syncer) return replace();
  written_ = true;
  sync();
}

void KeptList::replace() {
  written_ = false;
  if (const int error = parts_.files.rename(path(kNextName), path(kKeptName))) return fail("rename", error);
  parts_.disk.giveBack(inBlocks(current_.bytes));
  current_ = std::exchange(next_, {});
  baseBytes_ = current_.bytes;
  rewriting_ = false;
  mine_ = true;
  renamed_ = true;
  ++figures_.rewrites;
  committed();
}

void KeptList::append(const DestinationSet& set) {
  if (!write(current_, takeDirty(set)) || !dirty_.empty()) return;
  pending_ = false;
  unsynced_ = true;
  committed();
}

std::string KeptList::takeDirty(const DestinationSet& set) {
  std::string frames;
  std::vector<KeptEndpoint> put;
  std::vector<std::string> gone;
  for (std::size_t left = options_.tuning.endpointsPerSlice; left > 0 && !dirty_.empty(); --left) {
    const auto first = dirty_.begin();
    if (const EndpointEntry* entry = set.findUid(*first))
      put.push_back(stored(*entry));
    else
      gone.push_back(*first);
    dirty_.erase(first);
  }
  for (std::size_t i = 0; i < put.size(); i += kPerFrame) {
    const auto end = put.begin() + static_cast<std::ptrdiff_t>(std::min(put.size(), i + kPerFrame));
    frame(frames, options_.salt, Type::kPut,
          std::vector<KeptEndpoint>(put.begin() + static_cast<std::ptrdiff_t>(i), end));
  }
  if (!gone.empty()) frame(frames, options_.salt, Type::kGone, std::move(gone));
  if (dirty_.empty())
    frame(frames, options_.salt, Type::kCommit,
          KeptCommit{set.rev(), told_.wallMs, told_.machineMs, set.all().size()});
  return frames;
}

void KeptList::committed() {
  lastCommitMs_ = parts_.clock.steadyMs();
  restMs_ = 0;
  lastFault_.clear();
  ++figures_.commits;
  sync();
}

void KeptList::sync() {
  if (!parts_.syncer || syncing_ || !(written_ || unsynced_ || renamed_)) return;
  SyncJob job;
  if (written_) job.files.push_back(next_.out);
  job.position = written_ ? attempt_ : 0;
  if (std::exchange(unsynced_, false)) job.files.push_back(current_.out);
  job.folder = std::exchange(renamed_, false);
  syncing_ = true;
  parts_.syncer->submit(std::move(job));
}

void KeptList::onSynced() {
  while (const auto done = parts_.syncer->collect()) {
    syncing_ = false;
    // After a failed fdatasync another one proves nothing: all of it is written anew.
    if (done->fault != 0)
      fail("sync", done->fault);
    else if (done->position == attempt_)
      replace();
  }
  sync();
}

bool KeptList::grow(const File& file, std::size_t bytes) {
  const std::size_t grows = inBlocks(file.bytes + bytes) - inBlocks(file.bytes);
  // Beside the file that it replaces.
  const std::size_t other = &file == &next_ ? inBlocks(current_.bytes) : 0;
  return inBlocks(file.bytes + bytes) + other <= options_.mostBytes && parts_.disk.take(grows);
}

bool KeptList::write(File& file, const std::string& frames) {
  if (!grow(file, frames.size())) {
    fail("find room for", ENOSPC);
    return false;
  }
  const auto [put, error] = file.out->append(frames);
  const std::size_t before = file.bytes;
  file.bytes += put;
  parts_.disk.giveBack(inBlocks(before + frames.size()) - inBlocks(file.bytes));
  figures_.writtenBytes += put;
  if (error == 0 && put == frames.size()) return true;
  fail("write", error);
  return false;
}

void KeptList::drop(File& file) {
  file.out.reset();
  if (parts_.files.remove(path(kNextName)) == 0)
    parts_.disk.giveBack(inBlocks(file.bytes));
  else
    leftover_ = file.bytes;
  file = {};
}

// What is on the disk stays as old as it says; after a rest all is written anew.
void KeptList::fail(const char* what, int error) {
  ++figures_.faults;
  if (rewriting_) drop(next_);
  rewriting_ = mine_ = written_ = unsynced_ = renamed_ = false;
  pending_ = true;
  ++attempt_;
  dirty_.clear();  // or it would grow for as long as the disk refuses
  current_.out.reset();
  restMs_ = std::clamp(2 * restMs_, options_.tuning.restMs, options_.tuning.mostRestMs);
  restUntilMs_ = parts_.clock.steadyMs() + restMs_;
  const std::string fault = std::string("cannot ") + what + " the list of endpoints: " + std::strerror(error);
  if (fault != lastFault_)
    parts_.log.write(LogLevel::kError, "list.fault", "discovery: " + fault,
                     {{"what", what}, {"error", std::strerror(error)}});
  lastFault_ = fault;
}

}  // namespace myrtleloft
