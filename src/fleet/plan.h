// What the operator's section [fleet] asks for. Off where the section is missing: then nothing of the fleet
// exists.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"

namespace myrtleloft {

// All of a fleet but oneself. Bounds of links are stated for 100 (fleet/links.h).
inline constexpr std::size_t kMaxPeers = 127;
// Of a relay or a fleet, and of a building, in bytes: they stand in the first frame of a link.
inline constexpr std::size_t kMaxFleetNameBytes = 64, kMaxBuildingNameBytes = 256;

inline bool isFleetName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxFleetNameBytes &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
                  c == '-' || c == '_';
         });
}

struct FleetPlan {
  enum class WhenShort { kRefuse, kAlone };
  struct Peer {
    std::string name;
    Address address;
    friend bool operator==(const Peer& a, const Peer& b) {
      return a.name == b.name && a.address.text == b.address.text;
    }
  };

  bool enabled = false;
  std::string name;         // of the fleet: links to relays of another are refused
  Address listen;           // for the other relays only; port 0 asks for any
  std::vector<Peer> peers;  // by name; the one thing here that SIGHUP may change
  int copies = 0;           // further relays that hold what this one owes
  WhenShort whenShort = WhenShort::kRefuse;
  int auditIntervalS = 0;  // a round of the audit; 0: none, the section is missing
};

}  // namespace myrtleloft
