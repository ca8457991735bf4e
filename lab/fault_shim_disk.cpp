// The shim's files and clocks: changes below BALANCER_STATE fail, and the wall clock is moved.
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <string>

#include "lab/fault_shim_state.h"

namespace {

using namespace myrtleloft::lab;
using namespace myrtleloft::lab::shim;

bool belowState(const char* path) {
  static const std::string folder = ::getenv("BALANCER_STATE") ? ::getenv("BALANCER_STATE") : "";
  return !folder.empty() && ::strncmp(path, folder.c_str(), folder.size()) == 0;
}

bool endsWith(const char* path, const char* end) {
  const std::size_t size = ::strlen(path), endSize = ::strlen(end);
  return size >= endSize && ::strcmp(path + size - endSize, end) == 0;
}

DiskFault diskFault() {
  const DiskFault fault = page() ? page()->disk.load() : DiskFault::kNone;
  return fault == DiskFault::kAfterSync ? DiskFault::kNone : fault;
}
int diskError() { return diskFault() == DiskFault::kIoError ? EIO : ENOSPC; }
int failDisk(int error) {
  ++page()->failedDisk;
  errno = error;
  return -1;
}

void moveWallClock(timespec* time) {
  const std::int64_t ms = page() ? page()->wallStepMs.load() : 0;
  time->tv_sec += ms / 1000;
  time->tv_nsec += ms % 1000 * 1'000'000;
  if (time->tv_nsec < 0) --time->tv_sec, time->tv_nsec += 1'000'000'000;
  if (time->tv_nsec >= 1'000'000'000) ++time->tv_sec, time->tv_nsec -= 1'000'000'000;
}

int openFile(const char* name, const char* path, int flags, mode_t mode) {
  const bool below = belowState(path);
  const bool exists = ::access(path, F_OK) == 0;
  if (below && (flags & O_CREAT) && !exists && diskFault() != DiskFault::kNone) return failDisk(diskError());
  const bool reads = (flags & O_ACCMODE) == O_RDONLY;
  if (reads && endsWith(path, "/config.json") && scripted(ShimCall::kOpenConfig)) return -1;
  if (reads && endsWith(path, "/members") && scripted(ShimCall::kOpenCachedList)) return -1;
  const auto open = real<int(const char*, int, ...)>(name);
  const int fd = open(path, flags, mode);
  setKind(fd, below && !reads ? FdKind::kDisk : FdKind::kOther);
  return fd;
}

}  // namespace

extern "C" {

int open(const char* path, int flags, ...) {
  va_list rest;
  va_start(rest, flags);
  const mode_t mode = (flags & O_CREAT) ? va_arg(rest, mode_t) : 0;
  va_end(rest);
  return openFile("open", path, flags, mode);
}

int open64(const char* path, int flags, ...) {
  va_list rest;
  va_start(rest, flags);
  const mode_t mode = (flags & O_CREAT) ? va_arg(rest, mode_t) : 0;
  va_end(rest);
  return openFile("open64", path, flags, mode);
}

int close(int fd) {
  static const auto next = real<int(int)>("close");
  setKind(fd, FdKind::kOther);
  return next(fd);
}

ssize_t write(int fd, const void* bytes, size_t size) {
  static const auto next = real<ssize_t(int, const void*, size_t)>("write");
  if (kindOf(fd) != FdKind::kDisk) return next(fd, bytes, size);
  maybeDelay();
  const DiskFault fault = diskFault();
  if (fault == DiskFault::kNone) return next(fd, bytes, size);
  if (fault == DiskFault::kHalfWrites && size > 1 && nextRandom() % 2 == 0) return next(fd, bytes, size / 2);
  return failDisk(diskError());
}

ssize_t pwrite(int fd, const void* bytes, size_t size, off_t at) {
  static const auto next = real<ssize_t(int, const void*, size_t, off_t)>("pwrite");
  if (kindOf(fd) == FdKind::kDisk && diskFault() != DiskFault::kNone) return failDisk(diskError());
  return next(fd, bytes, size, at);
}

int ftruncate(int fd, off_t size) noexcept {
  static const auto next = real<int(int, off_t)>("ftruncate");
  if (kindOf(fd) == FdKind::kDisk && diskFault() == DiskFault::kIoError) return failDisk(EIO);
  return next(fd, size);
}

int fdatasync(int fd) {
  static const auto next = real<int(int)>("fdatasync");
  if (kindOf(fd) == FdKind::kDisk) slowSync();
  if (kindOf(fd) == FdKind::kDisk && page() && page()->disk == DiskFault::kAfterSync)
    page()->disk = DiskFault::kIoError;
  if (kindOf(fd) == FdKind::kDisk && diskFault() != DiskFault::kNone) return failDisk(diskError());
  return next(fd);
}

int rename(const char* from, const char* to) noexcept {
  static const auto next = real<int(const char*, const char*)>("rename");
  if (belowState(to) && diskFault() == DiskFault::kIoError) return failDisk(EIO);
  return next(from, to);
}

int unlink(const char* path) noexcept {
  static const auto next = real<int(const char*)>("unlink");
  if (belowState(path) && diskFault() == DiskFault::kIoError) return failDisk(EIO);
  return next(path);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const auto next = real<int(clockid_t, timespec*)>("clock_gettime");
  const int done = next(clock, time);
  if (done == 0 && clock == CLOCK_REALTIME) moveWallClock(time);
  return done;
}

int gettimeofday(timeval* time, void*) noexcept {
  timespec now{};
  if (::clock_gettime(CLOCK_REALTIME, &now) != 0) return -1;
  time->tv_sec = now.tv_sec;
  time->tv_usec = now.tv_nsec / 1000;
  return 0;
}

time_t time(time_t* out) noexcept {
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  if (out) *out = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
