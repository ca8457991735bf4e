// A standard error stream that never blocks on a slow reader.
//
//   StandardError err;
//   runCommandLine(argc, argv, environment, std::cout, err);
#pragma once

#include <unistd.h>

#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>

namespace myrtleloft {

// Output stream that buffers text until it is flushed, and writes it at each flush if the descriptor accepts
// it without blocking. Text that is not accepted, because the reader is stalled or has closed its end, is
// dropped; the next text written reports how many were dropped before it. Not thread-safe; one write(2) for
// each flush.
class StandardError : public std::ostream {
 public:
  // Does not take ownership of `fd`. SIGPIPE must be ignored, as the relay does; otherwise it ends the
  // process when the reader of a pipe closes its end.
  explicit StandardError(int fd = STDERR_FILENO) : std::ostream(nullptr), buffer_(fd) {
    rdbuf(&buffer_);
    setf(std::ios::unitbuf);  // flush after each output operation, as std::cerr does
  }

 private:
  class Buffer : public std::streambuf {
   public:
    explicit Buffer(int fd) : fd_(fd) {}

   protected:
    int_type overflow(int_type character) override;
    std::streamsize xsputn(const char* text, std::streamsize size) override;
    int sync() override;

   private:
    // Returns whether all of the text was written.
    bool put(const std::string& text);

    int fd_;
    std::string text_;
    std::uint64_t dropped_ = 0;
  };

  Buffer buffer_;
};

}  // namespace myrtleloft
