#include "discovery/destination_set.h"

#include <algorithm>

namespace myrtleloft {
namespace {

std::optional<int> indexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) return std::nullopt;
  return static_cast<int>(at - names.begin());
}

std::optional<RouteState> readState(const std::string& text) {
  if (text == "active") return RouteState::kRunning;
  if (text == "leaving") return RouteState::kStopping;
  if (text == "left") return RouteState::kDeleted;
  return std::nullopt;
}

// The name of the faulty key; empty: none.
std::string readEndpoint(const json::Value& value, const ListNames& names, EndpointEntry& endpoint) {
  const auto uid = value.string("uid"), state = value.string("state"), zone = value.string("az"),
             kind = value.string("model");
  const auto address = value.string("endpoint");
  const auto group = value.integer("pod_group");
  if (!uid || uid->empty()) return "uid";
  const auto parsedState = state ? readState(*state) : std::nullopt;
  if (!parsedState) return "state";
  const auto zoneIndex = zone ? indexOf(names.zones, *zone) : std::nullopt;
  const auto kindIndex = kind ? indexOf(names.kinds, *kind) : std::nullopt;
  const auto parsedAddress = address ? parseAddress(*address) : std::nullopt;
  endpoint.entry.target = *uid;
  endpoint.entry.state = *parsedState;
  endpoint.entry.rating = value.number("capacity_hint").value_or(1);
  // Of one that has left, the uid is all that counts.
  if (*parsedState == RouteState::kDeleted) return "";
  if (!zoneIndex) return "az";
  if (!kindIndex) return "model";
  if (!group) return "pod_group";
  if (!parsedAddress) return "endpoint";
  endpoint.entry.zone = *zoneIndex;
  endpoint.entry.kind = *kindIndex;
  endpoint.entry.destination = *group;
  endpoint.address = *parsedAddress;
  return "";
}

}  // namespace

std::optional<DestinationList> readList(const json::Value& value, const ListNames& names,
                                        std::string& error) {
  DestinationList list;
  const auto rev = value.integer("rev");
  const auto all = value.boolean("all");
  const json::Value* targets = value.find("targets", json::Value::Type::kArray);
  if (!rev || !all || !targets) {
    error = !rev ? "rev" : !all ? "all" : "targets";
    return std::nullopt;
  }
  list.rev = *rev;
  list.all = *all;
  for (std::size_t i = 0; i < targets->items.size(); ++i) {
    const std::string faulty = readEndpoint(targets->items[i], names, list.endpoints.emplace_back());
    if (faulty.empty()) continue;
    error = "targets[" + std::to_string(i) + "]." + faulty;
    return std::nullopt;
  }
  return list;
}

ListEvent DestinationSet::apply(const DestinationList& list, ListKind wholeKind) {
  ListEvent event;
  event.kind = list.all ? wholeKind : ListKind::kDiff;
  if (list.all) endpoints_.clear();
  for (const EndpointEntry& endpoint : list.endpoints) {
    const auto known = endpoints_.find(endpoint.entry.target);
    if (endpoint.entry.state != RouteState::kDeleted) {
      event.entries.push_back(endpoint.entry);
      destinations_.insert(endpoint.entry.destination);
      endpoints_.insert_or_assign(endpoint.entry.target, endpoint);
    } else if (known != endpoints_.end()) {
      // The module is told where it stood: a change may name nothing but the uid.
      event.entries.push_back(known->second.entry);
      event.entries.back().state = RouteState::kDeleted;
      endpoints_.erase(known);
    }
  }
  rev_ = list.rev;
  return event;
}

const EndpointEntry* DestinationSet::find(std::string_view uid) const {
  const auto at = endpoints_.find(uid);
  return at == endpoints_.end() ? nullptr : &at->second;
}

}  // namespace myrtleloft
