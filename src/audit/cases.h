// Test cases that every relay of a fleet runs on its own decision module, and the results that are compared.
//
// A case family generates its cases from the version of the rules alone. A case is a sequence of steps, each
// with an input and an output in encoded form. The input of a step may depend on earlier outputs, so two
// relays have equal inputs up to the first step with different outputs. A step takes microseconds; cases are
// run one step at a time between the handling of traffic.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "audit/hash.h"

namespace myrtleloft {

// Encoded input and output of one step.
struct CaseStep {
  std::string input, output;
  Hash digest() const;
};

// Maximum number of steps of a case of any family.
inline constexpr std::size_t kMaxSteps = 64;

// One execution of a case.
class CaseRun {
 public:
  virtual ~CaseRun() = default;
  // Runs the next step. Returns false and leaves `step` unchanged at the end of the case.
  virtual bool next(CaseStep& step) = 0;
};

// Texts for the log about a step with different results on two relays.
struct StepDifference {
  std::string event, here, there;
};

// A generator of cases of one kind.
class CaseFamily {
 public:
  virtual ~CaseFamily() = default;
  virtual const char* name() const = 0;
  virtual std::size_t cases() const = 0;
  // Gives the same steps each time for one version. O(1) compared to the cost of a step.
  virtual std::unique_ptr<CaseRun> begin(const Hash& version, std::size_t index) const = 0;
  // Describes two steps with equal input and different output. Either may hold invalid bytes.
  virtual StepDifference difference(const CaseStep& here, const CaseStep& there) const = 0;
};

// All cases for one version, numbered consecutively over all families.
class CaseSet {
 public:
  struct Location {
    const CaseFamily* family = nullptr;
    std::size_t index = 0;
  };
  CaseSet(const Hash& version, std::vector<std::unique_ptr<CaseFamily>> families);

  const Hash& version() const { return version_; }
  std::size_t size() const { return size_; }
  Location at(std::size_t number) const;  // requires number < size()
  std::unique_ptr<CaseRun> begin(std::size_t number) const;

 private:
  Hash version_;
  std::vector<std::unique_ptr<CaseFamily>> families_;
  std::size_t size_ = 0;
};

}  // namespace myrtleloft
