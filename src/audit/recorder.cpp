#include "audit/recorder.h"

#include <exception>
#include <utility>

#include "journal/archive.h"

namespace myrtleloft {

template <typename Archive>
void serialize(Archive& ar, CaseStep& step) {
  ar(step.input, step.output);
}
template <typename Archive>
void serialize(Archive& ar, TrafficWindow& w) {
  ar(w.seed, w.instanceIndex, w.zone, w.steps);
}

namespace {

constexpr std::size_t kWindowHeaderBytes = sizeof(std::uint64_t) + 2 * sizeof(int) + sizeof(std::uint32_t);
constexpr std::size_t kStepHeaderBytes = 2 * sizeof(std::uint32_t);

}  // namespace

std::string encode(const TrafficWindow& window) {
  std::string bytes;
  BufferOutputArchive out(bytes);
  out(window);
  return bytes;
}

bool decode(std::string_view bytes, TrafficWindow& window) {
  if (bytes.size() > kMaxWindowBytes) return false;
  try {
    BufferInputArchive in(bytes);
    in(window.seed, window.instanceIndex, window.zone);
    std::uint32_t size = 0;
    in(size);
    if (size > kMaxWindowSteps || window.instanceIndex < 0) return false;
    double lastMs = -1e300;
    for (; size > 0; --size) {
      CaseStep& step = window.steps.emplace_back();
      in(step);
      Batch batch;
      std::vector<Action> actions;
      if (!decodeEvents(step.input, batch) || batch.nowMs < lastMs || !decodeActions(step.output, actions))
        return false;
      lastMs = batch.nowMs;
    }
    return in.left() == 0;
  } catch (const std::exception&) {
    return false;
  }
}

void Recorder::begin(double nowMs, EndpointListEvent list) {
  window_ = {settings_.seed, settings_.instanceIndex, settings_.zone, {}};
  bytes_ = kWindowHeaderBytes;
  full_ = false;
  shadow_ = factory_(settings_);
  std::vector<Event> first;
  first.emplace_back(std::move(list));
  feed(nowMs, first);
}

void Recorder::feed(double nowMs, const std::vector<Event>& events) {
  if (!shadow_) return;
  CaseStep step;
  step.input = encodeEvents(nowMs, events);
  if (bytes_ + step.input.size() <= kMaxWindowBytes)
    step.output = encodeActions(shadow_->onBatch(nowMs, events));
  const std::size_t size = kStepHeaderBytes + step.input.size() + step.output.size();
  if (bytes_ + size > kMaxWindowBytes || window_.steps.size() == kMaxWindowSteps) {
    full_ = true;
    shadow_.reset();
    return;
  }
  bytes_ += size;
  window_.steps.push_back(std::move(step));
}

std::string Recorder::take() {
  std::string bytes = encode(window_);
  window_ = {};
  shadow_.reset();
  bytes_ = 0;
  full_ = false;
  return bytes;
}

WindowReplay::WindowReplay(Settings settings, const ModuleFactory& make, TrafficWindow window)
    : window_(std::move(window)) {
  settings.seed = window_.seed;
  settings.instanceIndex = window_.instanceIndex;
  settings.zone = window_.zone;
  module_ = make(settings);
}

bool WindowReplay::next() {
  if (localStep_ || stepIndex_ == window_.steps.size()) return false;
  Batch batch;
  CaseStep step;
  step.input = window_.steps[stepIndex_].input;
  decodeEvents(step.input, batch);
  step.output = encodeActions(module_->onBatch(batch.nowMs, batch.events));
  if (step.output != window_.steps[stepIndex_].output) {
    localStep_ = std::move(step);
    return false;
  }
  return ++stepIndex_ < window_.steps.size();
}

}  // namespace myrtleloft
