#include "audit/recorder.h"

#include <exception>
#include <utility>

#include "journal/archive.h"

namespace myrtleloft {

template <typename Archive>
void serialize(Archive& ar, CaseStep& step) {
  ar(step.asked, step.did);
}
template <typename Archive>
void serialize(Archive& ar, TrafficWindow& w) {
  ar(w.seed, w.me, w.zone, w.steps);
}

namespace {

constexpr std::size_t kHead = sizeof(std::uint64_t) + 2 * sizeof(int) + sizeof(std::uint32_t);
constexpr std::size_t kStepHead = 2 * sizeof(std::uint32_t);

}  // namespace

std::string encode(const TrafficWindow& window) {
  std::string bytes;
  BufferOutputArchive out(bytes);
  out(window);
  return bytes;
}

bool decode(std::string_view bytes, TrafficWindow& window) {
  if (bytes.size() > kMostWindow) return false;
  try {
    BufferInputArchive in(bytes);
    in(window.seed, window.me, window.zone);
    std::uint32_t size = 0;
    in(size);
    if (size > kMostWindowSteps || window.me < 0) return false;
    double lastMs = -1e300;
    for (; size > 0; --size) {
      CaseStep& step = window.steps.emplace_back();
      in(step);
      Batch batch;
      std::vector<Action> actions;
      if (!decodeEvents(step.asked, batch) || batch.nowMs < lastMs || !decodeActions(step.did, actions))
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
  bytes_ = kHead;
  full_ = false;
  shadow_ = make_(settings_);
  std::vector<Event> first;
  first.emplace_back(std::move(list));
  feed(nowMs, first);
}

void Recorder::feed(double nowMs, const std::vector<Event>& events) {
  if (!shadow_) return;
  CaseStep step;
  step.asked = encodeEvents(nowMs, events);
  if (bytes_ + step.asked.size() <= kMostWindow) step.did = encodeActions(shadow_->onBatch(nowMs, events));
  const std::size_t size = kStepHead + step.asked.size() + step.did.size();
  if (bytes_ + size > kMostWindow || window_.steps.size() == kMostWindowSteps) {
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

WindowPlay::WindowPlay(Settings settings, const ModuleMaker& make, TrafficWindow window)
    : window_(std::move(window)) {
  settings.seed = window_.seed;
  settings.instanceIndex = window_.me;
  settings.zone = window_.zone;
  module_ = make(settings);
}

bool WindowPlay::next() {
  if (mine_ || at_ == window_.steps.size()) return false;
  Batch batch;
  CaseStep step;
  step.asked = window_.steps[at_].asked;
  decodeEvents(step.asked, batch);
  step.did = encodeActions(module_->onBatch(batch.nowMs, batch.events));
  if (step.did != window_.steps[at_].did) {
    mine_ = std::move(step);
    return false;
  }
  return ++at_ < window_.steps.size();
}

}  // namespace myrtleloft
