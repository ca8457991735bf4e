// Converts the configuration into the options of each component of the relay. The resources that the platform
// grants (`limits`: sockets, memory, disk) are divided among the components here; docs/architecture.md lists
// the shares.
//
// Pure functions of the configuration, except that salts and seeds are drawn at random by each call. Numbers
// of connections and sizes in bytes are upper bounds.
#pragma once

#include <cstddef>
#include <vector>

#include "config/config.h"
#include "discovery/discovery_client.h"
#include "discovery/endpoint_directory.h"
#include "fleet/fleet.h"
#include "journal/journal.h"
#include "log/log.h"
#include "quota/quota_plan.h"

namespace myrtleloft {

// Returns the maximum number of client connections, at least 8.
std::size_t clientConnections(const Config& config);
// Returns the memory limit in bytes for requests that are being received or wait to be accepted.
std::size_t requestBytes(const Config& config);
JournalOptions journalOptions(const Config& config);
LogOptions logOptions(const Config& config);
EndpointDirectory::Options endpointDirectoryOptions(const Config& config);
// Returns the operator's quotas, with a default limit on the windows in use if the operator sets none.
QuotaPlan quotaPlan(const Config& config);
// Returns the priority weight of each class, by class index.
std::vector<double> priorityWeights(const Config& config);
DiscoveryClient::Options discoveryOptions(const Config& config);
Fleet::Options fleetOptions(const Config& config);

}  // namespace myrtleloft
