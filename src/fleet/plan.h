// Settings of the operator's section [fleet]. Without that section the plan is disabled and no part of the
// fleet is created.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"

namespace myrtleloft {

// Largest number of peers, without the relay itself. The resource bounds in fleet/bounds.h are stated for
// 100.
inline constexpr std::size_t kMaxPeers = 127;
// Lengths in bytes: the name of a relay or a fleet, and of a building. Both are sent in the first frame of a
// link.
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
  std::string name;         // name of the fleet; links to relays of another fleet are refused
  Address listen;           // address for the other relays only; port 0 selects any free port
  std::vector<Peer> peers;  // sorted by name; the only setting here that SIGHUP changes
  int copies = 0;           // number of further relays that store what this relay owes
  WhenShort whenShort = WhenShort::kRefuse;
  int auditIntervalS = 0;  // seconds between two audit rounds; 0 disables the audit
};

}  // namespace myrtleloft
