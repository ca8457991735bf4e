#include "lab/faulty_files.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "journal/planner.h"

namespace myrtleloft::lab {

std::size_t Disk::used() const {
  std::size_t sum = 0;
  for (const auto& [path, bytes] : files) sum += roundUpToBlocks(bytes.size());
  return sum;
}

void Disk::losePower() { files = synced; }

class FaultyOut : public OutFile {
 public:
  FaultyOut(FaultyFiles& files, std::string path) : files_(files), path_(std::move(path)) {}

  Written append(std::string_view bytes) override {
    std::size_t put = 0;
    int error = files_.begin("append", path_, bytes.size(), put);
    if (!error) put = bytes.size();
    const auto at = files_.disk_.files.find(path_);
    if (at == files_.disk_.files.end()) return {0, FileError{"write", path_, error ? error : EIO}};
    const std::size_t used = files_.disk_.used();
    const std::size_t room = files_.disk_.capacity > used ? files_.disk_.capacity - used : 0;
    if (put > room) {
      put = room;
      error = ENOSPC;
    }
    at->second.append(bytes.substr(0, put));
    files_.measure();
    if (error) return {put, FileError{"write", path_, error}};
    return {put, std::nullopt};
  }
  std::optional<FileError> truncate(std::size_t size) override {
    std::size_t partly = 0;
    if (const int error = files_.begin("truncate", path_, size, partly))
      return FileError{"truncate", path_, error};
    const auto at = files_.disk_.files.find(path_);
    if (at != files_.disk_.files.end()) at->second.resize(size);
    return std::nullopt;
  }
  std::optional<FileError> sync() override {
    std::size_t partly = 0;
    if (const int error = files_.begin("sync", path_, 0, partly)) {
      pagesLost_ = true;
      return FileError{"sync", path_, error};
    }
    if (pagesLost_) return std::nullopt;  // the system counts the pages as clean, and stores nothing
    const auto at = files_.disk_.files.find(path_);
    if (at != files_.disk_.files.end()) files_.disk_.synced[path_] = at->second;  // else removed meanwhile
    return std::nullopt;
  }

  void renamed(const std::string& from, const std::string& to) {
    if (path_ == from) path_ = to;
  }

 private:
  FaultyFiles& files_;
  std::string path_;
  bool pagesLost_ = false;  // a sync of it has failed
};

namespace {

class HeldLock : public FolderLock {
 public:
  HeldLock(Disk& disk, std::string path) : disk_(disk), path_(std::move(path)) {}
  ~HeldLock() override { disk_.locks.erase(path_); }

 private:
  Disk& disk_;
  std::string path_;
};

}  // namespace

void FaultyFiles::crashAt(std::uint64_t n, std::size_t torn) {
  crashAt_ = n;
  torn_ = torn;
}

void FaultyFiles::failAt(std::uint64_t n, std::uint64_t count, int error, std::size_t put) {
  failFrom_ = n;
  failCount_ = count;
  failWith_ = error;
  failPut_ = put;
}

int FaultyFiles::begin(const char* what, const std::string& path, std::size_t bytes, std::size_t& partly) {
  if (crashed_) return EIO;
  ++count_;
  log_.push_back({what, path, bytes});
  if (count_ == crashAt_) {
    crashed_ = true;
    partly = std::min(bytes, torn_);
    return EIO;
  }
  if (failWith_ != 0 && count_ >= failFrom_ && count_ < failFrom_ + failCount_) {
    partly = std::min(bytes, failPut_);
    return failWith_;
  }
  return 0;
}

void FaultyFiles::measure() { disk_.most = std::max(disk_.most, disk_.used()); }

Result<std::vector<FileInfo>, FileError> FaultyFiles::list(const std::string& folder) {
  if (crashed_) return FileError{"list", folder, EIO};
  if (readFault_) return FileError{"list", folder, readFault_};
  std::vector<FileInfo> files;
  for (const auto& [path, bytes] : disk_.files)
    if (path.starts_with(folder + "/")) files.push_back({path.substr(folder.size() + 1), bytes.size()});
  return files;
}

Result<std::string, FileError> FaultyFiles::read(const std::string& path, std::size_t most) {
  if (crashed_) return FileError{"read", path, EIO};
  if (readFault_) return FileError{"read", path, readFault_};
  if (path == unreadable_) return FileError{"read", path, unreadableFault_};
  const auto at = disk_.files.find(path);
  if (at == disk_.files.end()) return FileError{"read", path, ENOENT};
  return at->second.substr(0, most);
}

Result<std::shared_ptr<OutFile>, FileError> FaultyFiles::create(const std::string& path) {
  std::size_t partly = 0;
  if (const int error = begin("create", path, 0, partly)) return FileError{"create", path, error};
  if (!disk_.files.emplace(path, "").second) return FileError{"create", path, EEXIST};
  auto made = std::make_shared<FaultyOut>(*this, path);
  open_.push_back(made);
  return std::shared_ptr<OutFile>(std::move(made));
}

std::optional<FileError> FaultyFiles::rename(const std::string& from, const std::string& to) {
  std::size_t partly = 0;
  if (const int error = begin("rename", from, 0, partly)) return FileError{"rename", from, error};
  auto node = disk_.files.extract(from);
  if (node.empty()) return FileError{"rename", from, ENOENT};
  disk_.files[to] = std::move(node.mapped());
  const auto synced = disk_.synced.find(from);
  disk_.renamed[to] = synced == disk_.synced.end() ? "" : synced->second;
  for (const auto& weak : open_)  // an open file keeps its file, whatever its name
    if (const auto out = weak.lock()) out->renamed(from, to);
  return std::nullopt;
}

std::optional<FileError> FaultyFiles::remove(const std::string& path) {
  std::size_t partly = 0;
  if (const int error = begin("remove", path, 0, partly)) return FileError{"remove", path, error};
  if (path == kept_) {
    if (keptFault_ == 0) return std::nullopt;
    return FileError{"remove", path, keptFault_};
  }
  if (disk_.files.erase(path) > 0) return std::nullopt;
  return FileError{"remove", path, ENOENT};
}

std::optional<FileError> FaultyFiles::syncFolder(const std::string& folder) {
  std::size_t partly = 0;
  if (const int error = begin("syncFolder", folder, 0, partly)) return FileError{"sync", folder, error};
  for (auto& [path, bytes] : std::exchange(disk_.renamed, {})) disk_.synced[path] = bytes;
  std::erase_if(disk_.synced, [&](const auto& file) { return !disk_.files.count(file.first); });
  for (const auto& [path, bytes] : disk_.files) disk_.synced.emplace(path, "");
  return std::nullopt;
}

Result<std::unique_ptr<FolderLock>, LockError> FaultyFiles::lockIfExists(const std::string& path) {
  if (!disk_.files.count(path)) return LockError{{"lock", path, ENOENT}, {}};
  const std::string before = disk_.files[path];
  auto locked = lock(path, {});
  disk_.files[path] = before;
  return locked;
}

Result<std::unique_ptr<FolderLock>, LockError> FaultyFiles::lock(const std::string& path,
                                                                 const std::string& owner) {
  if (crashed_) return LockError{{"lock", path, EIO}, {}};
  if (!disk_.locks.insert(path).second) return LockError{{"lock", path, EWOULDBLOCK}, disk_.files[path]};
  disk_.files[path] = owner;
  return std::unique_ptr<FolderLock>(std::make_unique<HeldLock>(disk_, path));
}

}  // namespace myrtleloft::lab
