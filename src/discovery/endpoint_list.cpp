#include "discovery/endpoint_list.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {
namespace {

constexpr std::size_t kMaxUidBytes = 1024;  // limits the size of the records in the cache file

// The keys of discovery's protocol.
constexpr const char* kRevisionKey = "rev";
constexpr const char* kCompleteKey = "all";
constexpr const char* kEndpointsKey = "targets";
constexpr const char* kUidKey = "uid";
constexpr const char* kStateKey = "state";
constexpr const char* kZoneKey = "az";
constexpr const char* kKindKey = "model";
constexpr const char* kDestinationKey = "pod_group";
constexpr const char* kAddressKey = "endpoint";
constexpr const char* kRatingKey = "capacity_hint";

std::optional<EndpointState> readState(const std::string& text) {
  if (text == "active") return EndpointState::kRunning;
  if (text == "leaving") return EndpointState::kDraining;
  if (text == "left") return EndpointState::kRemoved;
  return std::nullopt;
}

bool isValidUid(const std::optional<std::string>& uid) {
  return uid && !uid->empty() && uid->size() <= kMaxUidBytes &&
         uid->find(kReusedUidSeparator) == std::string::npos;
}

}  // namespace

std::string_view uidOfEndpoint(std::string_view endpointId) {
  return endpointId.substr(0, endpointId.find(kReusedUidSeparator));
}

std::optional<int> indexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) return std::nullopt;
  return static_cast<int>(at - names.begin());
}

std::string describe(const ListError& error) {
  const std::string entry = std::string(kEndpointsKey) + "[" + std::to_string(error.entry) + "]";
  switch (error.reason) {
    case ListError::Reason::kJson:
    case ListError::Reason::kMember:
      break;
    case ListError::Reason::kEntryKey:
      return entry + "." + error.detail;
    case ListError::Reason::kEntryJson:
      return entry + ": " + error.detail;
    case ListError::Reason::kEntryTooLong:
      return entry + ": too long";
    case ListError::Reason::kEntryNotObject:
      return entry + ": not an object";
    case ListError::Reason::kEntrySeparator:
      return entry + ": expected a comma or the end of the list before it";
    case ListError::Reason::kTruncated:
      return entry + ": the answer is truncated";
  }
  return error.detail;
}

std::variant<EndpointRecord, FaultyKey> readEndpoint(const json::Value& value, const IndexNames& names) {
  const auto uid = value.string(kUidKey);
  if (!isValidUid(uid)) return FaultyKey{kUidKey};
  const auto stateName = value.string(kStateKey);
  const auto state = stateName ? readState(*stateName) : std::nullopt;
  if (!state) return FaultyKey{kStateKey};
  EndpointRecord endpoint;
  endpoint.info.endpoint = *uid;
  endpoint.info.state = *state;
  endpoint.info.rating = value.number(kRatingKey).value_or(1);
  // Only the uid of a removed endpoint is used, so the other keys may be missing.
  if (*state == EndpointState::kRemoved) return endpoint;

  const auto zoneName = value.string(kZoneKey);
  const auto zone = zoneName ? indexOf(names.zones, *zoneName) : std::nullopt;
  if (!zone) return FaultyKey{kZoneKey};
  const auto kindName = value.string(kKindKey);
  const auto kind = kindName ? indexOf(names.kinds, *kindName) : std::nullopt;
  if (!kind) return FaultyKey{kKindKey};
  const auto destination = value.integer(kDestinationKey);
  if (!destination) return FaultyKey{kDestinationKey};
  const auto addressText = value.string(kAddressKey);
  const auto address = addressText ? parseAddress(*addressText) : std::nullopt;
  if (!address) return FaultyKey{kAddressKey};
  endpoint.info.zone = *zone;
  endpoint.info.kind = *kind;
  endpoint.info.destination = *destination;
  endpoint.address = *address;
  return endpoint;
}

ListResult readList(const json::Value& value, const IndexNames& names) {
  const auto revision = value.integer(kRevisionKey);
  if (!revision) return ListError{ListError::Reason::kMember, 0, kRevisionKey};
  const auto complete = value.boolean(kCompleteKey);
  if (!complete) return ListError{ListError::Reason::kMember, 0, kCompleteKey};
  const json::Value* entries = value.find(kEndpointsKey, json::Value::Type::kArray);
  if (!entries) return ListError{ListError::Reason::kMember, 0, kEndpointsKey};
  EndpointList list{*revision, *complete, {}};
  for (std::size_t i = 0; i < entries->items.size(); ++i) {
    auto endpoint = readEndpoint(entries->items[i], names);
    if (const auto* faulty = std::get_if<FaultyKey>(&endpoint))
      return ListError{ListError::Reason::kEntryKey, i, faulty->name};
    list.endpoints.push_back(std::move(std::get<EndpointRecord>(endpoint)));
  }
  return list;
}

}  // namespace myrtleloft
