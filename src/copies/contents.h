// The pending requests of one ledger by id, built by applying its records. The ledger's owner and its
// replicas build the same table. No I/O.
//
// A record for a request that is not in the table has no effect: the request has completed, or its current
// state will be copied later. Each operation costs O(log n).
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "journal/records.h"

namespace myrtleloft {

class PendingTable {
 public:
  using Requests = std::map<std::string, PendingRequest, std::less<>>;

  // Returns the id of the request that the record concerns, or an empty string if it concerns none.
  std::string apply(Record record);
  void put(PendingRequest request);
  const Requests& requests() const { return requests_; }
  const PendingRequest* find(const std::string& id) const;
  std::size_t bytes() const { return bytes_; }

 private:
  Requests requests_;
  std::size_t bytes_ = 0;  // encoded size of all requests
};

}  // namespace myrtleloft
