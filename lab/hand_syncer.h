// The level `group` without a thread: syncs when it is told to.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "journal/syncer.h"

namespace myrtleloft::lab {

class HandSyncer : public Syncer {
 public:
  explicit HandSyncer(Files& files, std::string folder = "/s") : files_(files), folder_(std::move(folder)) {}
  void submit(SyncJob job) override { jobs.push_back(std::move(job)); }
  std::optional<SyncResult> collect() override {
    if (done.empty()) return std::nullopt;
    const SyncResult first = done.front();
    done.pop_front();
    return first;
  }
  void work() {
    for (const SyncJob& job : std::exchange(jobs, {})) done.push_back(syncNow(files_, folder_, job));
  }
  std::vector<SyncJob> jobs;
  std::deque<SyncResult> done;

 private:
  Files& files_;
  std::string folder_;
};

}  // namespace myrtleloft::lab
