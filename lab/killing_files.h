// The operating system's files, until a chosen operation: there the process is ended by SIGKILL, of a write
// after so many of its bytes. Or else from there on some operations fail. For the real program; see
// lab/killed_relay.cpp.
#pragma once

#include <atomic>
#include <csignal>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "journal/files.h"
#include "net/clock.h"

namespace myrtleloft::lab {

class KillingFiles : public Files {
 public:
  // The `at`-th operation that changes the disk, from 1; 0: none.
  KillingFiles(std::uint64_t at, std::size_t torn) : at_(at), torn_(torn) {}
  // Operations from the `at`-th on, `count` of them and all in the `forMs` after it, fail with that errno; of
  // a write, `torn` bytes are done.
  void failInstead(std::uint64_t count, double forMs, int error) {
    failCount_ = count, failMs_ = forMs, failWith_ = error;
  }

  using Files::read;
  Result<std::vector<FileInfo>, FileError> list(const std::string& folder) override {
    return real_.list(folder);
  }
  Result<std::string, FileError> read(const std::string& path, std::size_t most) override {
    return real_.read(path, most);
  }
  Result<std::shared_ptr<OutFile>, FileError> create(const std::string& path) override {
    if (const int refused = count()) return FileError{"create", path, refused};
    auto real = real_.create(path);
    if (!real) return real;
    return std::shared_ptr<OutFile>(std::make_shared<Out>(*this, std::move(*real), path));
  }
  std::optional<FileError> rename(const std::string& from, const std::string& to) override {
    if (const int refused = count()) return FileError{"rename", from, refused};
    return real_.rename(from, to);
  }
  std::optional<FileError> remove(const std::string& path) override {
    if (const int refused = count()) return FileError{"remove", path, refused};
    return real_.remove(path);
  }
  std::optional<FileError> syncFolder(const std::string& folder) override { return real_.syncFolder(folder); }
  Result<std::unique_ptr<FolderLock>, LockError> lock(const std::string& path,
                                                      const std::string& owner) override {
    return real_.lock(path, owner);
  }
  Result<std::unique_ptr<FolderLock>, LockError> lockIfExists(const std::string& path) override {
    return real_.lockIfExists(path);
  }

 private:
  class Out : public OutFile {
   public:
    Out(KillingFiles& files, std::shared_ptr<OutFile> real, std::string path)
        : files_(files), real_(std::move(real)), path_(std::move(path)) {}
    Written append(std::string_view bytes) override {
      if (!files_.due()) return real_->append(bytes);
      const Written partly = real_->append(bytes.substr(0, files_.torn_));
      if (files_.failWith_ == 0) std::raise(SIGKILL);
      return {partly.put, FileError{"write", path_, files_.failWith_}};
    }
    std::optional<FileError> truncate(std::size_t size) override {
      if (const int refused = files_.count()) return FileError{"truncate", path_, refused};
      return real_->truncate(size);
    }
    // On the helper thread: operations are counted by an atomic.
    std::optional<FileError> sync() override {
      if (const int refused = files_.count()) return FileError{"sync", path_, refused};
      return real_->sync();
    }

   private:
    KillingFiles& files_;
    std::shared_ptr<OutFile> real_;
    std::string path_;
  };

  bool due() {
    const std::uint64_t now = ++count_;
    if (failWith_ == 0 || now < at_) return now == at_;
    if (now < at_ + failCount_) return true;
    double none = 0;
    const double nowMs = clock_.steadyMs();
    failingSinceMs_.compare_exchange_strong(none, nowMs);
    return nowMs < failingSinceMs_ + failMs_;
  }
  // An errno where the operation is to fail.
  int count() {
    if (!due()) return 0;
    if (failWith_ == 0) std::raise(SIGKILL);
    return failWith_;
  }

  PosixFiles real_;
  const Clock clock_;
  std::atomic<double> failingSinceMs_ = 0;
  double failMs_ = 0;
  std::atomic<std::uint64_t> count_ = 0;
  std::uint64_t at_, failCount_ = 0;
  std::size_t torn_;
  int failWith_ = 0;
};

}  // namespace myrtleloft::lab
