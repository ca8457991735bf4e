#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <stdexcept>

#include "lab/fault_shim.h"

namespace myrtleloft::lab {

FaultShim::FaultShim(std::string pagePath, std::uint64_t seed) : path_(std::move(pagePath)) {
  const int fd = ::open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0 || ::ftruncate(fd, sizeof(FaultPage)) != 0)
    throw std::runtime_error("no page for the fault shim");
  void* const memory = ::mmap(nullptr, sizeof(FaultPage), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  if (memory == MAP_FAILED) throw std::runtime_error("the fault shim's page cannot be mapped");
  page_ = new (memory) FaultPage;
  page_->seed = seed;
}

FaultShim::~FaultShim() { ::munmap(page_, sizeof(FaultPage)); }

std::vector<std::pair<std::string, std::string>> FaultShim::environment(
    const std::string& shimLibrary) const {
  // A sanitized relay would not start with another library before the sanitizer's.
  return {
      {"LD_PRELOAD", shimLibrary}, {kShimPageVariable, path_}, {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
}

}  // namespace myrtleloft::lab
