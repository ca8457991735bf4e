// Generated cases for the decision module: each runs a new module instance against random endpoints, requests
// and faults for half a minute of simulated time. Each case has its own fault profile (none, rejections, an
// outage, timeouts), so that queueing, slow start, retries, ambiguous attempts and rejections are all
// covered.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "audit/cases.h"
#include "discovery/endpoint_table.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

// Interface of the decision module for cases, so that tests can use a differently built module.
class DecisionModule {
 public:
  virtual ~DecisionModule() = default;
  virtual std::vector<Action> onBatch(double nowMs, const std::vector<Event>& events) = 0;
};
using ModuleFactory = std::function<std::unique_ptr<DecisionModule>(const Settings&)>;
std::unique_ptr<DecisionModule> makeOwnModule(const Settings& settings);

// Describes the input batch of two steps and their first different action.
StepDifference moduleDifference(const CaseStep& here, const CaseStep& there);

class ModuleCases : public CaseFamily {
 public:
  static constexpr std::size_t kCases = 128, kSteps = 48;
  // Maximum number of endpoints of the real list that cases use: those whose uids have the lowest hashes.
  static constexpr std::size_t kMaxRealEndpoints = 64;

  ModuleCases(const Settings& settings, const EndpointTable::Endpoints& endpoints,
              ModuleFactory make = makeOwnModule);

  const char* name() const override { return "module"; }
  std::size_t cases() const override { return kCases; }
  std::unique_ptr<CaseRun> begin(const Hash& version, std::size_t index) const override;
  StepDifference difference(const CaseStep& here, const CaseStep& there) const override {
    return moduleDifference(here, there);
  }

 private:
  Settings settings_;
  std::vector<EndpointInfo> realEndpoints_;
  ModuleFactory factory_;
};

}  // namespace myrtleloft
