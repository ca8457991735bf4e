// Notifications to the platform: what was accepted and will not be delivered. Kept until they are confirmed,
// posted again after a failure: 110 ms after the failed post or later, and sooner where nothing of it can
// have reached the platform.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "counters/counters.h"
#include "journal/journal.h"
#include "log/log.h"
#include "net/client_connection.h"
#include "net/loop.h"

namespace myrtleloft {

class NotificationSender {
 public:
  using Confirmed = std::function<void(const std::string& id)>;

  NotificationSender(Loop& loop, const Address& platform, Counters& counters, Log log)
      : loop_(loop), platform_(platform), counters_(counters), log_(std::move(log)) {}

  void onConfirmed(Confirmed confirmed) { confirmed_ = std::move(confirmed); }
  void add(const std::string& id, FinalStatus verdict, double waitMs);
  bool empty() const { return waiting_.empty(); }
  // The platform's address has changed: what is not confirmed goes there.
  void onAddressChanged();

 private:
  struct Notice {
    std::string id, line;
  };

  void post();
  void onResult(const ClientConnection::Result& result);
  // The post did not reach the platform: no connection came up, or it broke before the last byte was written.
  void onUnsent();
  void again(double delayMs);

  Loop& loop_;
  const Address& platform_;  // the configuration's, which may change
  Counters& counters_;
  Log log_;
  Confirmed confirmed_;
  std::deque<Notice> waiting_;  // those posted first, then those that came since
  std::size_t posted_ = 0;      // 0: no call is out
  bool oneByOne_ = false;
  double postedAtMs_ = 0;  // the last post
  int failuresInRow_ = 0;  // posts without a usable answer since the last confirmation
  int unsentInRow_ = 0;    // posts that did not reach the platform since the last one that did
  std::unique_ptr<ClientConnection> connection_;
  Loop::Timer timer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
