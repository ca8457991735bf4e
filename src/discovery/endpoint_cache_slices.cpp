// Builds the records of a slice of the endpoint cache.
#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "discovery/endpoint_cache.h"
#include "discovery/endpoint_cache_format.h"

namespace myrtleloft {
namespace {

cache_format::Endpoint stored(const EndpointRecord& endpoint) {
  cache_format::Endpoint record;
  record.uid = uidOfEndpoint(endpoint.info.endpoint);
  record.address = endpoint.address.text;
  record.zone = endpoint.info.zone;
  record.kind = endpoint.info.kind;
  record.destination = endpoint.info.destination;
  record.rating = endpoint.info.rating;
  record.announcedWallMs = endpoint.announcedWallMs;
  record.drainingSinceWallMs = endpoint.drainingSinceWallMs;
  record.draining = endpoint.info.state == EndpointState::kDraining;
  record.announcedByDelta = endpoint.announcedByDelta;
  record.missing = endpoint.missing;
  return record;
}

}  // namespace

bool EndpointCache::appendSlice(const EndpointTable& table, EndpointTable::Endpoints::const_iterator at,
                                std::string& frames) {
  std::vector<cache_format::Endpoint> batch;
  const auto flush = [&] {
    if (batch.empty()) return;
    cache_format::appendFrame(frames, options_.salt, cache_format::Type::kPut, std::exchange(batch, {}));
  };
  std::size_t left = options_.tuning.endpointsPerSlice;
  for (; at != table.all().end() && left > 0; ++at, --left) {
    batch.push_back(stored(at->second));
    cursor_ = at->first;
    dirty_.erase(at->first);
    if (batch.size() == cache_format::kEndpointsPerFrame) flush();
  }
  flush();
  return at == table.all().end();
}

std::string EndpointCache::takeDirty(const EndpointTable& table) {
  std::string frames;
  std::vector<cache_format::Endpoint> put;
  std::vector<std::string> removedUids;
  for (std::size_t left = options_.tuning.endpointsPerSlice; left > 0 && !dirty_.empty(); --left) {
    const auto first = dirty_.begin();
    if (const EndpointRecord* entry = table.findByUid(*first))
      put.push_back(stored(*entry));
    else
      removedUids.push_back(*first);
    dirty_.erase(first);
  }
  for (std::size_t i = 0; i < put.size(); i += cache_format::kEndpointsPerFrame) {
    const auto end =
        put.begin() + static_cast<std::ptrdiff_t>(std::min(put.size(), i + cache_format::kEndpointsPerFrame));
    cache_format::appendFrame(
        frames, options_.salt, cache_format::Type::kPut,
        std::vector<cache_format::Endpoint>(put.begin() + static_cast<std::ptrdiff_t>(i), end));
  }
  if (!removedUids.empty())
    cache_format::appendFrame(frames, options_.salt, cache_format::Type::kRemove, std::move(removedUids));
  if (dirty_.empty())
    cache_format::appendFrame(frames, options_.salt, cache_format::Type::kCommit,
                              cache_format::Commit{table.revision(), confirmedAt_.wallMs,
                                                   confirmedAt_.machineMs, table.all().size()});
  return frames;
}

}  // namespace myrtleloft
