#include "exchange/batch_scheduler.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

BatchScheduler::BatchScheduler(const Parts& parts, const Settings& settings, ActionHandler actionHandler)
    : parts_(parts),
      intervalMs_(settings.batchIntervalMs),
      dispatcher_(settings),
      actionHandler_(std::move(actionHandler)) {}

void BatchScheduler::push(Event event) {
  if (stopped_) return;
  enqueue(std::move(event));
  schedule();
}

void BatchScheduler::schedule() {
  if (timer_ != Loop::kNoTimer || stopped_) return;
  const double waitMs = batchMs_ + intervalMs_ - parts_.loop.nowMs();
  timer_ = parts_.loop.after(waitMs, [this] { run(); });
}

void BatchScheduler::run() {
  timer_ = Loop::kNoTimer;
  batchMs_ = std::max(batchMs_, parts_.loop.nowMs());
  ++parts_.counters.batches;
  const std::vector<Event> events = std::exchange(events_, {});
  if (observer_) observer_(batchMs_, events);
  actionHandler_(dispatcher_.onBatch(batchMs_, events));
}

void BatchScheduler::stop() {
  stopped_ = true;
  events_.clear();
  parts_.loop.cancel(timer_);
}

}  // namespace myrtleloft
