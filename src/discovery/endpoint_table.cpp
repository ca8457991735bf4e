#include "discovery/endpoint_table.h"

#include <algorithm>
#include <set>

namespace myrtleloft {
namespace {

// Whether an announced endpoint has the same properties as the known one.
bool sameEndpoint(const EndpointRecord& known, const EndpointRecord& announced) {
  return !known.missing && known.address.text == announced.address.text &&
         known.info.zone == announced.info.zone && known.info.state == announced.info.state &&
         known.info.rating == announced.info.rating;
}

// Sets the times of an endpoint that is new or has changed. `drainingSinceWallMs` is that of the endpoint
// before the change, 0 if it is new.
void setTimes(EndpointRecord& endpoint, double drainingSinceWallMs, bool byDelta, double wallMs) {
  // A cached list contains the time at which each endpoint was announced; discovery's list does not.
  if (endpoint.announcedWallMs == 0) {
    endpoint.announcedWallMs = wallMs;
    endpoint.announcedByDelta = byDelta;
  }
  if (endpoint.drainingSinceWallMs == 0)
    endpoint.drainingSinceWallMs = drainingSinceWallMs > 0 ? drainingSinceWallMs : wallMs;
  if (endpoint.info.state != EndpointState::kDraining) endpoint.drainingSinceWallMs = 0;
}

EndpointInfo removed(EndpointInfo info) {
  info.state = EndpointState::kRemoved;
  return info;
}

}  // namespace

void EndpointTable::applyRecord(const EndpointRecord& announced, bool byDelta, double wallMs,
                                TableUpdate& update) {
  const std::string& uid = announced.info.endpoint;
  const auto [at, isNew] = endpoints_.try_emplace(uid);
  EndpointRecord& known = at->second;
  known.lastNamedIn = completeLists_;
  const bool isReused = !isNew && (known.info.destination != announced.info.destination ||
                                   known.info.kind != announced.info.kind);
  if (!isNew && !isReused && sameEndpoint(known, announced))
    return update.event.entries.push_back(known.info);
  if (isNew || isReused) ++destinations_[announced.info.destination];
  EndpointRecord endpoint = announced;
  if (isReused) {
    releaseFrom(known.info.destination);
    update.event.entries.push_back(removed(known.info));
    endpoint.info.endpoint = uid + kReusedUidSeparator + std::to_string(++reusedUids_);
  } else if (!isNew) {
    endpoint.info.endpoint = known.info.endpoint;
  }
  update.event.entries.push_back(endpoint.info);
  update.changedUids.push_back(uid);
  setTimes(endpoint, isNew || isReused ? 0 : known.drainingSinceWallMs, byDelta, wallMs);
  endpoint.lastNamedIn = completeLists_;
  known = std::move(endpoint);
}

EndpointTable::Endpoints::iterator EndpointTable::remove(Endpoints::iterator at) {
  releaseFrom(at->second.info.destination);
  return endpoints_.erase(at);
}

void EndpointTable::releaseFrom(std::int64_t destination) {
  if (--destinations_.at(destination) > 0) return;
  emptyDestinations_.push_back(destination);
  if (emptyDestinations_.size() <= kMaxEmptyDestinations) return;
  const auto oldest = destinations_.find(emptyDestinations_.front());
  if (oldest != destinations_.end() && oldest->second == 0) destinations_.erase(oldest);
  emptyDestinations_.pop_front();
}

TableUpdate EndpointTable::apply(const EndpointList& list, ListUpdateKind completeKind, double wallMs,
                                 bool keepMissing) {
  TableUpdate update;
  update.event.kind = list.complete ? completeKind : ListUpdateKind::kDelta;
  update.event.entries.reserve(list.endpoints.size());
  if (list.complete) ++completeLists_;
  for (const EndpointRecord& endpoint : list.endpoints) {
    if (endpoint.info.state == EndpointState::kRemoved)
      applyRemoval(endpoint.info.endpoint, list.complete, update);
    else
      applyRecord(endpoint, !list.complete, wallMs, update);
  }
  revision_ = list.revision;
  if (list.complete) applyOmissions(keepMissing, update);
  return update;
}

void EndpointTable::applyRemoval(const std::string& uid, bool completeList, TableUpdate& update) {
  const auto known = endpoints_.find(uid);
  if (known == endpoints_.end()) return;
  // The event of a delta contains all properties of the removed endpoint; the delta may contain only its uid.
  if (!completeList) update.event.entries.push_back(removed(known->second.info));
  update.changedUids.push_back(uid);
  remove(known);
}

void EndpointTable::applyOmissions(bool keepMissing, TableUpdate& update) {
  for (auto at = endpoints_.begin(); at != endpoints_.end();) {
    if (at->second.lastNamedIn == completeLists_) {
      ++at;
      continue;
    }
    if (!keepMissing || !at->second.missing) update.changedUids.push_back(at->first);
    if (!keepMissing) {
      at = remove(at);
      continue;
    }
    at->second.missing = true;
    update.event.entries.push_back(at->second.info);
    ++at;
  }
}

std::size_t EndpointTable::countMissingFrom(const EndpointList& list) const {
  std::set<std::string_view> named;
  for (const EndpointRecord& endpoint : list.endpoints) named.insert(endpoint.info.endpoint);
  return static_cast<std::size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(), [&](const auto& known) { return !named.count(known.first); }));
}

TableUpdate EndpointTable::removeMissing() {
  TableUpdate update;
  update.event.kind = ListUpdateKind::kDelta;
  for (auto at = endpoints_.begin(); at != endpoints_.end();) {
    if (!at->second.missing) {
      ++at;
      continue;
    }
    update.event.entries.push_back(removed(at->second.info));
    update.changedUids.push_back(at->first);
    at = remove(at);
  }
  return update;
}

const EndpointRecord* EndpointTable::findByUid(std::string_view uid) const {
  const auto at = endpoints_.find(uid);
  return at == endpoints_.end() ? nullptr : &at->second;
}

const EndpointRecord* EndpointTable::find(std::string_view endpointId) const {
  const EndpointRecord* entry = findByUid(uidOfEndpoint(endpointId));
  return entry && entry->info.endpoint == endpointId ? entry : nullptr;
}

}  // namespace myrtleloft
