// The configuration as the parts of the relay take it: their shares of descriptors, memory and disk.
#pragma once

#include <cstddef>
#include <vector>

#include "config/config.h"
#include "journal/journal.h"
#include "log/log.h"

namespace myrtleloft {

// Of the memory, for clients' requests that are not taken on yet. docs/architecture.md adds up the rest.
constexpr std::size_t kClientsPerMemory = 4;

// Descriptors: an eighth for idle connections to endpoints, and what is left for clients.
std::size_t idleConnections(const Config& config);
std::size_t clientConnections(const Config& config);
JournalOptions journalOptions(const Config& config);
LogOptions logOptions(const Config& config);
QuotaPlan quotaPlan(const Config& config);
// By class.
std::vector<double> worths(const Config& config);

}  // namespace myrtleloft
