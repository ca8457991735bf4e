#include "journal/files.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

#include "net/socket.h"

namespace myrtleloft {
namespace {

int done(int result) { return result == 0 ? 0 : errno; }

// Of a call that a signal, or a file system that was held up, may end before it has done anything.
template <typename Call>
int retried(const Call& call) {
  int result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

class PosixOutFile : public OutFile {
 public:
  explicit PosixOutFile(Fd fd) : fd_(std::move(fd)) {}

  Written append(std::string_view bytes) override {
    Written written;
    while (written.put < bytes.size()) {
      const ssize_t put = ::write(fd_.get(), bytes.data() + written.put, bytes.size() - written.put);
      if (put < 0 && errno == EINTR) continue;
      if (put <= 0) {
        written.fault = put < 0 ? errno : ENOSPC;
        return written;
      }
      written.put += static_cast<std::size_t>(put);
    }
    return written;
  }
  int truncate(std::size_t size) override {
    return done(retried([&] { return ::ftruncate(fd_.get(), static_cast<off_t>(size)); }));
  }
  int sync() override {
    return done(retried([&] { return ::fdatasync(fd_.get()); }));
  }

 private:
  Fd fd_;
};

class PosixLock : public FolderLock {
 public:
  explicit PosixLock(Fd fd) : fd_(std::move(fd)) {}

 private:
  Fd fd_;
};

// Locks an open file; where another process holds it, reads who.
int take(const Fd& fd, std::string& owner) {
  if (!fd) return errno;
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) == 0) return 0;
  const int fault = errno;
  std::array<char, 256> text;
  const ssize_t got = ::pread(fd.get(), text.data(), text.size(), 0);
  owner.assign(text.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
  return fault;
}

}  // namespace

int PosixFiles::list(const std::string& folder, std::vector<FileSeen>& files) {
  std::error_code fault;
  std::filesystem::directory_iterator at(folder, fault);
  for (; !fault && at != std::filesystem::directory_iterator(); at.increment(fault))
    if (at->is_regular_file(fault)) files.push_back({at->path().filename().string(), at->file_size(fault)});
  return fault.value();
}

int PosixFiles::read(const std::string& path, std::string& bytes, std::size_t most) {
  const Fd fd(retried([&] { return ::open(path.c_str(), O_RDONLY | O_CLOEXEC); }));
  struct stat about {};
  if (!fd || ::fstat(fd.get(), &about) != 0) return errno;
  bytes.resize(std::min(static_cast<std::size_t>(about.st_size), most));
  std::size_t have = 0;
  while (have < bytes.size()) {
    const ssize_t got = ::read(fd.get(), bytes.data() + have, bytes.size() - have);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return errno;
    if (got == 0) break;
    have += static_cast<std::size_t>(got);
  }
  bytes.resize(have);
  return 0;
}

int PosixFiles::create(const std::string& path, std::shared_ptr<OutFile>& out) {
  constexpr int kNew = O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC;
  Fd fd(retried([&] { return ::open(path.c_str(), kNew, 0600); }));
  if (!fd) return errno;
  out = std::make_shared<PosixOutFile>(std::move(fd));
  return 0;
}

int PosixFiles::rename(const std::string& from, const std::string& to) {
  return done(::rename(from.c_str(), to.c_str()));
}

int PosixFiles::remove(const std::string& path) { return done(::unlink(path.c_str())); }

int PosixFiles::syncFolder(const std::string& folder) {
  const Fd fd(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return fd ? done(retried([&] { return ::fsync(fd.get()); })) : errno;
}

int PosixFiles::lock(const std::string& path, std::string& owner, std::unique_ptr<FolderLock>& lock) {
  Fd fd(retried([&] { return ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600); }));
  if (const int fault = take(fd, owner)) return fault;
  // Who holds it is for people to read. A full disk must not keep a relay from starting for want of that.
  if (::ftruncate(fd.get(), 0) == 0 && ::pwrite(fd.get(), owner.data(), owner.size(), 0) < 0) {
  }
  lock = std::make_unique<PosixLock>(std::move(fd));
  return 0;
}

int PosixFiles::lockIfThere(const std::string& path, std::string& owner, std::unique_ptr<FolderLock>& lock) {
  Fd fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (const int fault = take(fd, owner)) return fault;
  lock = std::make_unique<PosixLock>(std::move(fd));
  return 0;
}

}  // namespace myrtleloft
