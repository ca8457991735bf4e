// Records windows of real traffic: a new shadow instance of the decision module gets the endpoint list and
// then every batch of the serving module. Its inputs and outputs are kept for a peer to replay; its actions
// are not executed.
//
//   Recorder recorder(settings, makeOwnModule);
//   recorder.begin(nowMs, list);
//   recorder.feed(nowMs, events);                  // each batch that the serving module handles
//   if (recorder.full()) bytes = recorder.take();  // at most kMaxWindowBytes
//
// While a window is open, each batch is processed twice. A window contains the ids, keys and destinations of
// real requests but no bodies.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "audit/cases.h"
#include "audit/module_cases.h"
#include "audit/step_codec.h"

namespace myrtleloft {

inline constexpr std::size_t kMaxWindowBytes = 96 * 1024;  // encoded size
inline constexpr std::size_t kMaxWindowSteps = 4096;

// A recorded window: the settings specific to the recording relay, and the steps.
struct TrafficWindow {
  std::uint64_t seed = 0;  // of the recording relay, as are the next two
  int instanceIndex = 0, zone = 0;
  std::vector<CaseStep> steps;
};
std::string encode(const TrafficWindow& window);
// Returns false if the bytes are too long or truncated, a step is not a valid batch with actions, or its time
// is before that of the previous step.
bool decode(std::string_view bytes, TrafficWindow& window);

class Recorder {
 public:
  Recorder(const Settings& settings, ModuleFactory make) : settings_(settings), factory_(std::move(make)) {}

  // Starts a window. If the list does not fit, nothing is recorded.
  void begin(double nowMs, EndpointListEvent list);
  void feed(double nowMs, const std::vector<Event>& events);
  bool recording() const { return shadow_ != nullptr; }
  // True once a batch did not fit; that batch is not in the window, and recording has stopped.
  bool full() const { return full_; }
  // Ends the window and returns it encoded.
  std::string take();
  std::size_t batches() const { return window_.steps.size(); }

 private:
  Settings settings_;
  ModuleFactory factory_;
  std::unique_ptr<DecisionModule> shadow_;
  TrafficWindow window_;
  std::size_t bytes_ = 0;
  bool full_ = false;
};

// Replays a window of a peer on this relay, one step at a time.
class WindowReplay {
 public:
  // `settings` are those of this relay; the values specific to the recording relay come from the window.
  WindowReplay(Settings settings, const ModuleFactory& make, TrafficWindow window);
  // Runs one step. Returns true if all results were equal so far and more steps are left.
  bool next();
  // The local result of the step that diverged, if any.
  const std::optional<CaseStep>& local() const { return localStep_; }
  const CaseStep& remote() const { return window_.steps[stepIndex_]; }
  std::size_t step() const { return stepIndex_; }

 private:
  TrafficWindow window_;
  std::unique_ptr<DecisionModule> module_;
  std::size_t stepIndex_ = 0;
  std::optional<CaseStep> localStep_;
};

}  // namespace myrtleloft
