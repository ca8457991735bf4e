// Collects events for the decision module and runs its batches: at most one per batch interval of the
// settings, and only if there are new events.
//
//   BatchScheduler scheduler({loop, counters}, settings, [](const std::vector<Action>& actions) { ... });
//   scheduler.push(ClientDisconnectEvent{id});   // part of the next batch
//
// Owns the decision module. Single-threaded; a batch costs what the module and the action handler cost.
#pragma once

#include <functional>
#include <vector>

#include "counters/counters.h"
#include "myrtleloft/dispatcher.h"
#include "net/loop.h"

namespace myrtleloft {

class BatchScheduler {
 public:
  struct Parts {
    Loop& loop;
    Counters& counters;
  };
  // Executes the actions of one batch, in their order. It may push events for the next batch.
  using ActionHandler = std::function<void(const std::vector<Action>& actions)>;
  // Is called with the events of each batch just before the module decides; it must not change anything.
  using Observer = std::function<void(double nowMs, const std::vector<Event>& events)>;

  BatchScheduler(const Parts& parts, const Settings& settings, ActionHandler actionHandler);

  // Adds an event to the next batch and schedules that batch. Events pushed after `stop` are dropped.
  void push(Event event);
  // Adds an event to the next batch without scheduling one, for a start that calls `run` itself.
  void enqueue(Event event) { events_.push_back(std::move(event)); }
  // Runs a batch with the events collected so far.
  void run();
  // No further batch runs; the events collected so far are dropped.
  void stop();
  bool stopped() const { return stopped_; }
  void observe(Observer observer) { observer_ = std::move(observer); }
  // The loop's time at the start of the latest batch, in milliseconds.
  double batchMs() const { return batchMs_; }

 private:
  static constexpr double kNeverMs = -1e9;

  void schedule();

  Parts parts_;
  double intervalMs_;
  Dispatcher dispatcher_;
  ActionHandler actionHandler_;
  Observer observer_;
  std::vector<Event> events_;
  double batchMs_ = kNeverMs;
  bool stopped_ = false;
  Loop::Timer timer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
