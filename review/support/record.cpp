#include "review/support/record.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace myrtleloft::review {

double steadyMs() {
  const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(sinceEpoch).count();
}

Record::Record(const std::string& path) : file_(path), beganMs_(steadyMs()) {}

void Record::write(const std::string& line) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%10.1f ms  ", steadyMs() - beganMs_);
  file_ << time.data() << line << std::endl;
  std::printf("%s%s\n", time.data(), line.c_str());
}

bool disruptionWanted() {
  const char* const trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

}  // namespace myrtleloft::review
