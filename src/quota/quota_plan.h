// The quotas of the operator's file, read and validated by config/operator_file.h.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace myrtleloft {

// The settings are documented in docs/operators/quotas.md.
struct QuotaPlan {
  struct Node {
    std::string name, parent;  // `parent` is empty for the root node of a tenant
    std::string tenant;        // only of a root node
    std::string unit;          // the value of the unit header for this node; empty if it has no unit
    bool rest = false;         // for all requests of the tenant that no other node covers
    std::vector<std::int64_t> messages, calls;  // limits by window; 0 or missing means unlimited
    std::vector<double> worth;  // limits of the summed priority weights, by window; 0 or missing: unlimited
  };
  std::vector<std::int64_t> windowsS;
  std::string header;                 // the header that names the unit; empty if units are not used
  std::int64_t maxActiveWindows = 0;  // windows in use at once; 0: as many as fit into an eighth of memory_mb
  std::vector<Node> nodes;            // each after its parent
};

}  // namespace myrtleloft
