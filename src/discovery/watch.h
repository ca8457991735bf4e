// The watch on discovery's list: one call after the other, whatever becomes of each.
#pragma once

#include <functional>
#include <memory>
#include <ostream>

#include "discovery/destination_set.h"
#include "net/client_connection.h"
#include "net/loop.h"
#include "relay/counters.h"

namespace myrtleloft {

class DiscoveryWatch {
 public:
  using Changed = std::function<void(ListEvent)>;

  DiscoveryWatch(Loop& loop, const Address& discovery, const ListNames& names, DestinationSet& set,
                 Counters& counters, std::ostream& log)
      : loop_(loop), discovery_(discovery), names_(names), set_(set), counters_(counters), log_(log) {}

  void start(Changed changed);
  // Asks for the whole list with the next call, which starts at once on a connection of its own: also what is
  // to be done when discovery's address has changed.
  void fetch();

 private:
  void ask();
  void onResult(const ClientConnection::Result& result);
  bool accept(const ClientConnection::Result& result);

  Loop& loop_;
  const Address& discovery_;  // the configuration's, which may change
  ListNames names_;
  DestinationSet& set_;
  Counters& counters_;
  std::ostream& log_;
  Changed changed_;
  bool whole_ = false;
  std::string lastError_;
  std::unique_ptr<ClientConnection> connection_;
  Loop::Timer timer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
