// The relay as `myrtleloft serve` runs it, with a planted fault: its journal keeps no record of an attempt,
// so that after SIGKILL it knows of no call that was out. For the test that must find it, and for nothing
// else.
#include <unistd.h>

#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "journal/files.h"
#include "journal/records.h"
#include "journal/segment.h"
#include "myrtleloft/relay.h"

namespace {

using namespace myrtleloft;

class ForgetfulFile : public OutFile {
 public:
  explicit ForgetfulFile(std::shared_ptr<OutFile> real) : real_(std::move(real)) {}
  Written append(std::string_view bytes) override {
    if (!begun_) {
      begun_ = true;
      header_ = readHeader(bytes).header;
      return real_->append(bytes);
    }
    const std::string segment = std::string(kSegmentHeaderBytes, '\0') + std::string(bytes);
    std::string kept;
    SegmentScanner scanner(segment, header_.salt, header_.sequence, SegmentScanner::kUnknownEnd);
    for (Piece piece = scanner.next(); piece.kind != Piece::Kind::kEnd; piece = scanner.next()) {
      std::optional<Record> record;
      if (piece.kind == Piece::Kind::kRecord) record = decode(piece.payload);
      const bool attempt = record && std::holds_alternative<AttemptRecord>(*record);
      if (!attempt) kept += segment.substr(piece.offset, piece.bytes);
    }
    const Written written = kept.empty() ? Written{} : real_->append(kept);
    return {written.fault ? written.put : bytes.size(), written.fault};
  }
  int truncate(std::size_t size) override { return real_->truncate(size); }
  int sync() override { return real_->sync(); }

 private:
  std::shared_ptr<OutFile> real_;
  SegmentHeader header_;
  bool begun_ = false;
};

class ForgetfulFiles : public PosixFiles {
 public:
  int create(const std::string& path, std::shared_ptr<OutFile>& out) override {
    std::shared_ptr<OutFile> real;
    const int fault = PosixFiles::create(path, real);
    const bool segment = path.size() > 4 && path.substr(path.size() - 4) == ".seg";
    if (!fault) out = segment ? std::make_shared<ForgetfulFile>(std::move(real)) : std::move(real);
    return fault;
  }
};

}  // namespace

int main() {
  ForgetfulFiles files;
  return Relay(environmentOf(environ), std::cerr, {&files}).run();
}
