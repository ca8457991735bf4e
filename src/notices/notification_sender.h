// Sends notifications to the platform about accepted requests that will not be delivered. A notification is
// kept until the platform confirms it. A failed post is repeated at least 110 ms after the failed one, or
// sooner if no byte of it can have reached the platform.
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

  // Sets the callback that is called once for each notification that needs no further post.
  void onConfirmed(Confirmed confirmed) { confirmed_ = std::move(confirmed); }
  // Queues a notification. `waitMs` is the Retry-After of a returned request, or 0.
  void add(const std::string& id, FinalStatus status, double waitMs);
  bool empty() const { return pending_.empty(); }
  // The platform's address has changed: unconfirmed notifications are sent to the new one.
  void onAddressChanged();

 private:
  struct Notification {
    std::string id, line;
  };

  void post();
  void onResult(const ClientConnection::Result& result);
  // The post did not reach the platform, because no connection was established or it failed before the last
  // byte was written.
  void onUnsent();
  void schedulePost(double delayMs);

  Loop& loop_;
  const Address& platform_;  // owned by the configuration, may change
  Counters& counters_;
  Log log_;
  Confirmed confirmed_;
  std::deque<Notification> pending_;  // unconfirmed, in order; the first inFlight_ are posted
  std::size_t inFlight_ = 0;          // notifications in the current post; 0 if there is none
  bool oneByOne_ = false;             // after a rejected post, to find the notification at fault
  double postedAtMs_ = 0;             // start of the last post
  int failuresInRow_ = 0;             // posts without a valid answer since the last confirmation
  int unsentInRow_ = 0;               // consecutive posts that did not reach the platform
  std::unique_ptr<ClientConnection> connection_;
  Loop::Timer timer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
