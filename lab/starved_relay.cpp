// The relay as `myrtleloft serve` runs it, in want of memory: once it serves, LAB_STARVE_COUNT allocations
// from the LAB_STARVE_AT-th on fail, as `operator new` fails where the system gives no more.
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <new>
#include <ostream>
#include <streambuf>
#include <string_view>

#include "myrtleloft/relay.h"

namespace {

std::atomic<std::uint64_t> allocations = 0, failFrom = std::numeric_limits<std::uint64_t>::max(),
                           failCount = 0;

// No memory, or none to be had at this allocation.
void* allocate(std::size_t bytes) noexcept {
  const std::uint64_t now = ++allocations;
  if (now >= failFrom && now < failFrom + failCount) return nullptr;
  return std::malloc(bytes > 0 ? bytes : 1);
}

// Without a byte of memory: standard error is where the test reads.
void say(std::string_view text) noexcept {
  [[maybe_unused]] const ssize_t put = ::write(STDERR_FILENO, text.data(), text.size());
}

void* allocateOrThrow(std::size_t bytes) {
  if (void* memory = allocate(bytes)) return memory;
  say("lab: bad_alloc thrown\n");
  throw std::bad_alloc();
}

// std::stable_sort asks like this, and goes on in place where there is none.
void* allocateOrTell(std::size_t bytes) noexcept {
  void* const memory = allocate(bytes);
  if (!memory) say("lab: no memory told\n");
  return memory;
}

// Standard error, unbuffered; the word that the relay serves arms the failure.
class Ear : public std::streambuf {
 public:
  Ear(std::uint64_t at, std::uint64_t count) : at_(at), count_(count) {}

 protected:
  int_type overflow(int_type c) override {
    const char one = traits_type::to_char_type(c);
    return xsputn(&one, 1) == 1 ? c : traits_type::eof();
  }
  std::streamsize xsputn(const char* text, std::streamsize size) override {
    if (at_ > 0 &&
        std::string_view(text, static_cast<std::size_t>(size)).find(": serving") != std::string_view::npos) {
      failCount = count_;
      failFrom = allocations + at_;
      at_ = 0;  // once: its successor serves in peace
    }
    for (std::streamsize done = 0; done < size;) {
      const ssize_t put = ::write(STDERR_FILENO, text + done, static_cast<std::size_t>(size - done));
      if (put <= 0) return done;
      done += put;
    }
    return size;
  }

 private:
  std::uint64_t at_, count_;
};

std::uint64_t number(const char* name) {
  const char* text = std::getenv(name);
  return text ? static_cast<std::uint64_t>(std::atoll(text)) : 0;
}

}  // namespace

void* operator new(std::size_t bytes) { return allocateOrThrow(bytes); }
void* operator new[](std::size_t bytes) { return allocateOrThrow(bytes); }
void* operator new(std::size_t bytes, const std::nothrow_t&) noexcept { return allocateOrTell(bytes); }
void* operator new[](std::size_t bytes, const std::nothrow_t&) noexcept { return allocateOrTell(bytes); }
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete[](void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
void operator delete[](void* memory, std::size_t) noexcept { std::free(memory); }

int main() {
  Ear ear(number("LAB_STARVE_AT"), number("LAB_STARVE_COUNT"));
  std::ostream log(&ear);
  return myrtleloft::Relay(myrtleloft::environmentOf(environ), log).run();
}
