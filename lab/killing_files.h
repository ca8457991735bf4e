// The operating system's files, until a chosen operation: there the process is ended by SIGKILL, of a write
// after so many of its bytes. For the real program; see lab/killed_relay.cpp.
#pragma once

#include <csignal>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "journal/files.h"

namespace myrtleloft::lab {

class KillingFiles : public Files {
 public:
  // The `at`-th operation that changes the disk, from 1; 0: none.
  KillingFiles(std::uint64_t at, std::size_t torn) : at_(at), torn_(torn) {}

  using Files::read;
  int list(const std::string& folder, std::vector<FileSeen>& files) override {
    return real_.list(folder, files);
  }
  int read(const std::string& path, std::string& bytes, std::size_t most) override {
    return real_.read(path, bytes, most);
  }
  int create(const std::string& path, std::shared_ptr<OutFile>& out) override {
    count();
    std::shared_ptr<OutFile> real;
    const int fault = real_.create(path, real);
    if (!fault) out = std::make_shared<Out>(*this, std::move(real));
    return fault;
  }
  int rename(const std::string& from, const std::string& to) override {
    count();
    return real_.rename(from, to);
  }
  int remove(const std::string& path) override {
    count();
    return real_.remove(path);
  }
  int syncFolder(const std::string& folder) override { return real_.syncFolder(folder); }
  int lock(const std::string& path, std::string& owner, std::unique_ptr<FolderLock>& lock) override {
    return real_.lock(path, owner, lock);
  }
  int lockIfThere(const std::string& path, std::string& owner, std::unique_ptr<FolderLock>& lock) override {
    return real_.lockIfThere(path, owner, lock);
  }

 private:
  class Out : public OutFile {
   public:
    Out(KillingFiles& files, std::shared_ptr<OutFile> real) : files_(files), real_(std::move(real)) {}
    Written append(std::string_view bytes) override {
      if (files_.due()) {
        real_->append(bytes.substr(0, files_.torn_));
        std::raise(SIGKILL);
      }
      return real_->append(bytes);
    }
    int truncate(std::size_t size) override {
      files_.count();
      return real_->truncate(size);
    }
    int sync() override { return real_->sync(); }

   private:
    KillingFiles& files_;
    std::shared_ptr<OutFile> real_;
  };

  bool due() { return ++count_ == at_; }
  void count() {
    if (due()) std::raise(SIGKILL);
  }

  PosixFiles real_;
  std::uint64_t count_ = 0, at_;
  std::size_t torn_;
};

}  // namespace myrtleloft::lab
