// Decodes an answer of discovery: a complete list of endpoints with their addresses, or a delta to the known
// list. Reports why an answer cannot be used.
//
//   const ListResult result = readList(value, names);
//   if (const auto* error = std::get_if<ListError>(&result)) log(describe(*error));
//   else use(std::get<EndpointList>(result));
//
// A list with an error in any entry is rejected as a whole. Thread-safe: there is no shared state and no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "json/json.h"
#include "myrtleloft/dispatcher.h"
#include "net/socket.h"

namespace myrtleloft {

struct EndpointRecord {
  EndpointInfo info;  // what the decision module gets; info.endpoint is the endpoint's id, see uidOfEndpoint
  Address address;
  // Both times are in milliseconds on the wall clock, 0 if unknown.
  double announcedWallMs = 0;      // when it was first announced with its present properties
  double drainingSinceWallMs = 0;  // when its drain was first announced; 0 also if it is not draining
  bool announcedByDelta = false;   // whether it was announced by a delta rather than by a complete list
  bool missing = false;            // whether the last complete list omitted it, and it is retained for now
  std::uint64_t lastNamedIn = 0;  // used by EndpointTable: number of the last complete list that contained it
};

// The decision module identifies an endpoint by its id, which usually is discovery's uid. If a uid is reused
// for another destination or kind, that is a different endpoint: its id consists of the uid, this separator,
// which is not allowed in a uid, and a number.
inline constexpr char kReusedUidSeparator = '\x1f';
// Returns the uid that an endpoint id begins with.
std::string_view uidOfEndpoint(std::string_view endpointId);

struct EndpointList {
  std::int64_t revision = 0;
  bool complete = false;  // false for a delta, which contains only the endpoints that changed
  std::vector<EndpointRecord> endpoints;
};

// The names of zones and kinds. Discovery uses the names; the decision module uses the indexes into these
// lists.
struct IndexNames {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};
// Returns the index of `name`, or std::nullopt if `names` does not contain it.
std::optional<int> indexOf(const std::vector<std::string>& names, std::string_view name);

// Why a list cannot be used.
struct ListError {
  enum class Reason {
    kJson,       // the answer is not valid JSON; `detail` is the JSON library's message
    kMember,     // a member of the list itself is missing or has the wrong type; `detail` is its key
    kEntryKey,   // a value of an entry is missing, malformed or unknown; `detail` is its key
    kEntryJson,  // an entry is not valid JSON; `detail` is the JSON library's message
    kEntryTooLong,
    kEntryNotObject,
    kEntrySeparator,  // there is neither a comma nor the end of the array before the entry
    kTruncated        // the answer ends before the array does
  };
  Reason reason = Reason::kJson;
  std::size_t entry = 0;  // the index in `targets`; not used for kJson and kMember
  std::string detail;
};
// Describes the error for logs and for errors of the configuration, such as "targets[1].uid".
std::string describe(const ListError& error);

// The key of a value in an entry that is missing or malformed, or that names an unknown zone or kind.
struct FaultyKey {
  const char* name = "";
};
// Decodes one entry of `targets`. O(length).
std::variant<EndpointRecord, FaultyKey> readEndpoint(const json::Value& value, const IndexNames& names);

using ListResult = std::variant<EndpointList, ListError>;
// Decodes an answer, which is a complete list or a delta. O(length).
ListResult readList(const json::Value& value, const IndexNames& names);

}  // namespace myrtleloft
