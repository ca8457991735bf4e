#include "myrtleloft/standard_error.h"

#include <poll.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace myrtleloft {

StandardError::Buffer::int_type StandardError::Buffer::overflow(int_type byte) {
  if (!traits_type::eq_int_type(byte, traits_type::eof())) text_ += traits_type::to_char_type(byte);
  return traits_type::not_eof(byte);
}

std::streamsize StandardError::Buffer::xsputn(const char* text, std::streamsize size) {
  text_.append(text, static_cast<std::size_t>(size));
  return size;
}

int StandardError::Buffer::sync() {
  if (text_.empty()) return 0;
  const std::string text = std::exchange(text_, {});
  if (dropped_ > 0 &&
      put("(" + std::to_string(dropped_) + " earlier messages dropped: standard error was not read)\n"))
    dropped_ = 0;
  if (dropped_ > 0 || !put(text)) ++dropped_;
  return 0;  // an error would set the stream's badbit, and nothing more would be written
}

namespace {

constexpr int kPollAttempts = 8;

// Whether a byte can be written without blocking. A poll that fails says nothing about the reader, so it is
// tried again.
bool writable(int fd) {
  for (int i = 0; i < kPollAttempts; ++i) {
    pollfd ready{fd, POLLOUT, 0};
    const int count = ::poll(&ready, 1, 0);
    if (count >= 0) return count == 1 && (ready.revents & POLLOUT);
  }
  return false;
}

}  // namespace

// A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
bool StandardError::Buffer::put(const std::string& text) {
  for (std::size_t at = 0; at < text.size();) {
    if (!writable(fd_)) return false;
    const ssize_t put = ::write(fd_, text.data() + at, std::min<std::size_t>(text.size() - at, PIPE_BUF));
    if (put < 0 && errno == EINTR) continue;
    if (put <= 0) return false;
    at += static_cast<std::size_t>(put);
  }
  return true;
}

}  // namespace myrtleloft
