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

// The error of the system call that has just failed, from errno.
FileError errorFromErrno(const char* operation, const std::string& path) {
  const int number = errno;
  return {operation, path, number};
}

// Returns std::nullopt if `result` is 0, as after a successful system call, else the error from errno.
std::optional<FileError> resultOf(int result, const char* operation, const std::string& path) {
  if (result == 0) return std::nullopt;
  return errorFromErrno(operation, path);
}

// Repeats a system call for as long as it fails with EINTR. A signal can interrupt it, as can a wait for a
// slow file system, before it has had any effect.
template <typename Call>
int retried(const Call& call) {
  int result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

class PosixOutFile : public OutFile {
 public:
  PosixOutFile(Fd fd, std::string path) : fd_(std::move(fd)), path_(std::move(path)) {}

  Written append(std::string_view bytes) override {
    Written written;
    while (written.put < bytes.size()) {
      const ssize_t put = ::write(fd_.get(), bytes.data() + written.put, bytes.size() - written.put);
      if (put < 0 && errno == EINTR) continue;
      if (put <= 0) {
        if (put == 0) errno = ENOSPC;
        written.error = errorFromErrno("write", path_);
        return written;
      }
      written.put += static_cast<std::size_t>(put);
    }
    return written;
  }
  std::optional<FileError> truncate(std::size_t size) override {
    return resultOf(retried([&] { return ::ftruncate(fd_.get(), static_cast<off_t>(size)); }), "truncate",
                    path_);
  }
  std::optional<FileError> sync() override {
    return resultOf(retried([&] { return ::fdatasync(fd_.get()); }), "sync", path_);
  }

 private:
  Fd fd_;
  std::string path_;
};

class PosixLock : public FolderLock {
 public:
  explicit PosixLock(Fd fd) : fd_(std::move(fd)) {}

 private:
  Fd fd_;
};

// Locks an open file without waiting. If another process holds the lock, the error includes its owner text.
std::optional<LockError> lockFile(const Fd& fd, const std::string& path) {
  if (!fd) return LockError{errorFromErrno("lock", path), {}};
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) == 0) return std::nullopt;
  LockError failure{errorFromErrno("lock", path), {}};
  std::array<char, 256> text;
  const ssize_t count = ::pread(fd.get(), text.data(), text.size(), 0);
  failure.owner.assign(text.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
  return failure;
}

}  // namespace

Result<std::vector<FileInfo>, FileError> PosixFiles::list(const std::string& folder) {
  std::vector<FileInfo> files;
  std::error_code failure;
  std::filesystem::directory_iterator at(folder, failure);
  for (; !failure && at != std::filesystem::directory_iterator(); at.increment(failure))
    if (at->is_regular_file(failure))
      files.push_back({at->path().filename().string(), at->file_size(failure)});
  if (failure) return FileError{"list", folder, failure.value()};
  return files;
}

Result<std::string, FileError> PosixFiles::read(const std::string& path, std::size_t maxBytes) {
  const Fd fd(retried([&] { return ::open(path.c_str(), O_RDONLY | O_CLOEXEC); }));
  struct stat status {};
  if (!fd || ::fstat(fd.get(), &status) != 0) return errorFromErrno("read", path);
  std::string bytes(std::min(static_cast<std::size_t>(status.st_size), maxBytes), '\0');
  std::size_t bytesRead = 0;
  while (bytesRead < bytes.size()) {
    const ssize_t count = ::read(fd.get(), bytes.data() + bytesRead, bytes.size() - bytesRead);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errorFromErrno("read", path);
    if (count == 0) break;
    bytesRead += static_cast<std::size_t>(count);
  }
  bytes.resize(bytesRead);
  return bytes;
}

Result<std::shared_ptr<OutFile>, FileError> PosixFiles::create(const std::string& path) {
  constexpr int kNew = O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC;
  Fd fd(retried([&] { return ::open(path.c_str(), kNew, 0600); }));
  if (!fd) return errorFromErrno("create", path);
  return std::shared_ptr<OutFile>(std::make_shared<PosixOutFile>(std::move(fd), path));
}

std::optional<FileError> PosixFiles::rename(const std::string& from, const std::string& to) {
  return resultOf(::rename(from.c_str(), to.c_str()), "rename", from);
}

std::optional<FileError> PosixFiles::remove(const std::string& path) {
  return resultOf(::unlink(path.c_str()), "remove", path);
}

std::optional<FileError> PosixFiles::syncFolder(const std::string& folder) {
  const Fd fd(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!fd) return errorFromErrno("sync", folder);
  return resultOf(retried([&] { return ::fsync(fd.get()); }), "sync", folder);
}

Result<std::unique_ptr<FolderLock>, LockError> PosixFiles::lock(const std::string& path,
                                                                const std::string& owner) {
  Fd fd(retried([&] { return ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600); }));
  if (auto failure = lockFile(fd, path)) return *std::move(failure);
  // The owner text is only for diagnosis, so a failure to write it, e.g. on a full disk, is ignored: it must
  // not keep a relay from starting.
  if (::ftruncate(fd.get(), 0) == 0 && ::pwrite(fd.get(), owner.data(), owner.size(), 0) < 0) {
  }
  return std::unique_ptr<FolderLock>(std::make_unique<PosixLock>(std::move(fd)));
}

Result<std::unique_ptr<FolderLock>, LockError> PosixFiles::lockIfExists(const std::string& path) {
  Fd fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (auto failure = lockFile(fd, path)) return *std::move(failure);
  return std::unique_ptr<FolderLock>(std::make_unique<PosixLock>(std::move(fd)));
}

}  // namespace myrtleloft
