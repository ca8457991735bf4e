// Quotas as the operator writes them, read and checked by config/operator_file.h.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace myrtleloft {

// docs/operators/quotas.md says what each means.
struct QuotaPlan {
  struct Node {
    std::string name, parent;  // of a tenant's node, `parent` is empty
    std::string tenant;        // whose it is; of a node below one, empty
    std::string unit;          // what the header says of its requests; empty: it has none of its own
    bool rest = false;         // its requests are those of its tenant that no other node has
    std::vector<std::int64_t> messages, calls;  // most in each window; 0, or not there: no limit
    std::vector<double> worth;
  };
  std::vector<std::int64_t> windowsS;
  std::string header;                 // that names the unit; empty: none
  std::int64_t maxActiveWindows = 0;  // windows in use at once; 0: as many as fit an eighth of memory_mb
  std::vector<Node> nodes;            // each behind its parent
};

}  // namespace myrtleloft
