// The table of known endpoints. Applies discovery's complete lists and deltas to it, and reports what each of
// them changed.
//
//   TableUpdate update = table.apply(list, ListUpdateKind::kSnapshot, wallMs);
//   decisions(update.event); cache.markChanged(update.changedUids);
//
// Not thread-safe: an instance is used by one thread. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/endpoint_list.h"

namespace myrtleloft {

// What applying a list changed.
struct TableUpdate {
  EndpointListEvent event;               // for the decision module
  std::vector<std::string> changedUids;  // of endpoints that are new, changed or removed
};

class EndpointTable {
 public:
  using Endpoints = std::map<std::string, EndpointRecord, std::less<>>;

  // Applies a list that was announced at `wallMs` (wall clock). `completeKind` is the event's kind if the
  // list is complete. If `keepMissing` is set, endpoints that a complete list omits are marked as missing
  // instead of being removed. O((list + table) log table) for a complete list, O(list log table) for a delta.
  TableUpdate apply(const EndpointList& list, ListUpdateKind completeKind, double wallMs,
                    bool keepMissing = false);
  // The number of known endpoints that a complete list omits. O(table log list).
  std::size_t countMissingFrom(const EndpointList& list) const;
  // Removes the endpoints that are marked as missing. O(table).
  TableUpdate removeMissing();
  // All endpoints, by uid.
  const Endpoints& all() const { return endpoints_; }
  // Returns nullptr if the endpoint is unknown or removed, or if its uid has been reused for another
  // endpoint.
  const EndpointRecord* find(std::string_view endpointId) const;
  // Returns nullptr if no endpoint has this uid.
  const EndpointRecord* findByUid(std::string_view uid) const;
  // The number of destinations without an endpoint that are remembered.
  static constexpr std::size_t kMaxEmptyDestinations = 1024;
  // Whether a list has contained an endpoint of the destination. A known destination without endpoints may
  // get one again. Only the kMaxEmptyDestinations destinations that lost their last endpoint most recently
  // are remembered.
  bool knowsDestination(std::int64_t destination) const { return destinations_.count(destination) != 0; }
  std::int64_t revision() const { return revision_; }
  bool empty() const { return endpoints_.empty(); }

 private:
  void applyRecord(const EndpointRecord& announced, bool byDelta, double wallMs, TableUpdate& update);
  void applyRemoval(const std::string& uid, bool completeList, TableUpdate& update);
  // Removes the endpoints that the last complete list omitted, or marks them as missing.
  void applyOmissions(bool keepMissing, TableUpdate& update);
  Endpoints::iterator remove(Endpoints::iterator at);
  // Decrements the number of endpoints of a destination.
  void releaseFrom(std::int64_t destination);

  Endpoints endpoints_;
  std::map<std::int64_t, std::size_t> destinations_;  // the number of endpoints of each destination
  std::deque<std::int64_t> emptyDestinations_;  // destinations that lost their last endpoint, oldest first
  std::int64_t revision_ = 0;
  std::uint64_t reusedUids_ = 0;     // counts reused uids; part of the ids of their endpoints
  std::uint64_t completeLists_ = 0;  // counts complete lists
};

}  // namespace myrtleloft
