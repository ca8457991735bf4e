// Cases: what each relay of a fleet is asked in its head, the same at all, and what it answers.
//
// A family draws its cases from the version of the rules alone. A case is a run of steps; in each, something
// is asked and something done, both as bytes. What is asked may follow from what was done before, so that up
// to the first step at which two relays do otherwise they were asked the same. A step takes microseconds:
// cases are played one step at a time, beside traffic.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "audit/hash.h"

namespace myrtleloft {

struct CaseStep {
  std::string asked, did;
  Hash digest() const;
};

// A case has no more steps, whatever its family.
inline constexpr std::size_t kMostSteps = 64;

class CaseRun {
 public:
  virtual ~CaseRun() = default;
  // false: the case is over, and `step` is as it was.
  virtual bool next(CaseStep& step) = 0;
};

// What a line of the log says of a step at which two relays differ.
struct StepDifference {
  std::string event, here, there;
};

class CaseFamily {
 public:
  virtual ~CaseFamily() = default;
  virtual const char* name() const = 0;
  virtual std::size_t cases() const = 0;
  // The same steps each time, for one version; O(1) beside what a step costs.
  virtual std::unique_ptr<CaseRun> begin(const Hash& version, std::size_t index) const = 0;
  // Both steps are asked the same and did otherwise; either may be bytes that nobody wrote.
  virtual StepDifference difference(const CaseStep& here, const CaseStep& there) const = 0;
};

// All that is played for one version, numbered through.
class CaseSet {
 public:
  struct Place {
    const CaseFamily* family = nullptr;
    std::size_t index = 0;
  };
  CaseSet(const Hash& version, std::vector<std::unique_ptr<CaseFamily>> families);

  const Hash& version() const { return version_; }
  std::size_t size() const { return size_; }
  Place at(std::size_t number) const;  // number < size()
  std::unique_ptr<CaseRun> begin(std::size_t number) const;

 private:
  Hash version_;
  std::vector<std::unique_ptr<CaseFamily>> families_;
  std::size_t size_ = 0;
};

}  // namespace myrtleloft
