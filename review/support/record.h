// The record of one run: what was sent, answered and run, in the order of time.
#pragma once

#include <cstdlib>
#include <fstream>
#include <string>

namespace myrtleloft::review {

// Milliseconds of the steady clock.
double steadyMs();

class Record {
 public:
  // Writes to `path`, which is replaced; each line is also printed.
  explicit Record(const std::string& path);

  // Adds a line with the milliseconds since the record began.
  void write(const std::string& line);

 private:
  std::ofstream file_;
  double beganMs_;
};

// Whether the script plays its disruption: true unless TROUBLE=0.
bool disruptionWanted();

// The exit codes that the operators' letter names.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace myrtleloft::review
