// Discovery's list: which endpoints there are, where, and for which destination.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/json.h"
#include "myrtleloft/dispatcher.h"
#include "net/socket.h"

namespace myrtleloft {

struct EndpointEntry {
  ListEntry entry;  // as the decision module sees it; its target is the endpoint's uid
  Address address;
};

struct DestinationList {  // one answer of discovery
  std::int64_t rev = 0;
  bool all = false;
  std::vector<EndpointEntry> endpoints;
};

// Zones and kinds are told by name and decided on by index.
struct ListNames {
  std::vector<std::string> zones, kinds;
};

// On failure nothing, and in `error` the faulty key. A list is taken whole or not at all.
std::optional<DestinationList> readList(const json::Value& value, const ListNames& names, std::string& error);

class DestinationSet {
 public:
  // What the decision module is to be told of it.
  ListEvent apply(const DestinationList& list, ListKind wholeKind = ListKind::kSnapshot);
  // nullptr: unknown, or gone from the list.
  const EndpointEntry* find(std::string_view uid) const;
  // Whether any list so far named an endpoint for it: one that has none just now may get another.
  bool knows(std::int64_t destination) const { return destinations_.count(destination) != 0; }
  std::int64_t rev() const { return rev_; }
  bool empty() const { return endpoints_.empty(); }

 private:
  std::map<std::string, EndpointEntry, std::less<>> endpoints_;
  std::set<std::int64_t> destinations_;
  std::int64_t rev_ = 0;
};

}  // namespace myrtleloft
