#include "config/text_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <optional>

#include "net/socket.h"

namespace myrtleloft {
namespace {

constexpr std::size_t kReadBytes = 65536;

TextFileError errorOf(int errorNumber) { return {causeOf(errorNumber), std::strerror(errorNumber)}; }

Fd openToRead(const std::string& path) {
  for (;;) {
    const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd >= 0 || errno != EINTR) return Fd(fd);
  }
}

// Returns the errno of a failed read, or std::nullopt once the end has been reached.
std::optional<int> readToEnd(const Fd& file, std::string& text) {
  std::array<char, kReadBytes> buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init): read(2) fills it
  for (;;) {
    const ssize_t count = ::read(file.get(), buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errno;
    if (count == 0) return std::nullopt;
    text.append(buffer.data(), static_cast<std::size_t>(count));
  }
}

bool isSame(const timespec& before, const timespec& after) {
  return before.tv_sec == after.tv_sec && before.tv_nsec == after.tv_nsec;
}

bool hasChanged(const struct stat& before, const struct stat& after, const std::string& text) {
  if (!S_ISREG(after.st_mode) || after.st_size == 0) return false;  // files in /proc have no size
  return before.st_size != after.st_size || !isSame(before.st_mtim, after.st_mtim) ||
         static_cast<std::size_t>(after.st_size) != text.size();
}

double wallMs(const timespec& time) {
  return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

}  // namespace

Result<TextFile, TextFileError> readTextFile(const std::string& path) {
  const Fd file = openToRead(path);
  struct stat before {};
  struct stat after {};
  if (!file || ::fstat(file.get(), &before) != 0) return errorOf(errno);
  TextFile result;
  if (const std::optional<int> errorNumber = readToEnd(file, result.text)) return errorOf(*errorNumber);
  if (::fstat(file.get(), &after) != 0) return errorOf(errno);
  if (hasChanged(before, after, result.text))
    return TextFileError{UnavailableCause::kMissing, "it is being written"};
  result.writtenWallMs = wallMs(after.st_mtim);
  return result;
}

}  // namespace myrtleloft
