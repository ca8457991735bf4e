#include "discovery/endpoint_directory.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <limits>
#include <utility>

namespace myrtleloft {

EndpointDirectory::EndpointDirectory(const Parts& parts, Options options)
    : parts_(parts),
      options_(std::move(options)),
      cache_({parts.files, parts.clock, parts.disk, parts.log, parts.syncer}, options_.cache),
      freshnessPolicy_(options_.freshness),
      guard_(options_.guard),
      machineRun_(parts.clock.machineRun()) {}

Stamp EndpointDirectory::now() const {
  return {parts_.clock.wallMs(), parts_.clock.machineMs(), machineRun_};
}

std::optional<int> EndpointDirectory::cacheReadError() const {
  if (!options_.cacheEnabled) return std::nullopt;
  const auto bytes = parts_.files.read(options_.cache.folder + "/" + kCacheFileName);
  return bytes || bytes.error().number == ENOENT ? std::nullopt : std::optional(bytes.error().number);
}

EndpointListEvent EndpointDirectory::begin(const EndpointList& configured, double configuredWallMs) {
  const CachedList cached = options_.cacheEnabled ? readCache() : CachedList();
  const ListOffer cachedOffer{cached.usable, cached.list.revision, cached.confirmedAt, cached.complete};
  const ListOffer configuredOffer{
      configured.complete, configured.revision, {configuredWallMs, 0, ""}, /*complete=*/true};
  const InitialSource source = chooseInitialSource(cachedOffer, configuredOffer, now());
  const bool fromCache = source == InitialSource::kCached;
  const EndpointList& initial = fromCache ? cached.list : configured;

  if (source != InitialSource::kNothing)
    confirmedAt_ = fromCache ? cached.confirmedAt : configuredOffer.confirmedAt;
  // If the age of the configured list is unknown, its later revision shows that it was announced after the
  // cached list was confirmed. That time is then an upper bound of its age.
  if (source == InitialSource::kConfigured && cached.usable && cached.complete && !age().known)
    confirmedAt_ = cached.confirmedAt;
  complete_ = !fromCache || cached.complete;
  if (source != InitialSource::kNothing) logInitialList(source, initial.revision);

  TableUpdate update = table_.apply(initial, ListUpdateKind::kCached, confirmedAt_.wallMs);
  update.event.kind = ListUpdateKind::kCached;  // also an incomplete list or none: discovery has not answered
  // The list is cached now, because its age would be unknown after a restart before discovery's first answer.
  if (options_.cacheEnabled && source == InitialSource::kConfigured && age().known) {
    cache_.markChanged(update.changedUids);
    cache_.markConfirmed(age().ms);
  }
  // The table may contain missing endpoints that the guard of the previous process retained. Deltas do not
  // mention them, so only a complete list shows whether they still exist.
  needsCompleteList_ = std::any_of(table_.all().begin(), table_.all().end(),
                                   [](const auto& known) { return known.second.missing; });
  return std::move(update.event);
}

CachedList EndpointDirectory::readCache() {
  CachedList cached = readCachedList(parts_.files, options_.cache.folder, &options_.cache.names);
  if (cached.fault) {
    const std::string fault = describe(*cached.fault);
    parts_.log.write(LogLevel::kWarning, cached.usable ? "list.cut-off" : "list.unusable",
                     std::string("discovery: the cached list is ") +
                         (cached.usable ? "incomplete, its last changes may be missing: " : "not used: ") +
                         fault,
                     {{"fault", fault}});
  }
  if (cached.unknownNames > 0)
    parts_.log.write(
        LogLevel::kWarning, "list.unknown-names",
        "discovery: " + std::to_string(cached.unknownNames) +
            " endpoints of the cached list are in zones or of kinds that the configuration does not "
            "name",
        {{"endpoints", cached.unknownNames}});
  if (cached.usable) wallSetBackMs_ = myrtleloft::wallSetBackMs(cached.confirmedAt, now());
  cache_.begin();
  return cached;
}

void EndpointDirectory::logInitialList(InitialSource source, std::int64_t revision) {
  const bool fromCache = source == InitialSource::kCached;
  const ListAge listAge = age();
  const std::string seconds = listAge.known ? std::to_string(std::llround(listAge.ms / 1000)) : "unknown";
  parts_.log.write(LogLevel::kInfo, "list.initial",
                   std::string("discovery: starting with the ") +
                       (fromCache ? "cached list" : "configured list") + ", rev " + std::to_string(revision) +
                       (listAge.known ? ", last confirmed " + seconds + " s ago, " : ", of unknown age, ") +
                       nameOf(freshness()),
                   {{"from", fromCache ? "cached" : "configuration"},
                    {"rev", revision},
                    {"age_s", seconds},
                    {"freshness", nameOf(freshness())}});
}

std::optional<EndpointListEvent> EndpointDirectory::onList(const EndpointList& list, std::size_t directory) {
  const ReceivedAnswer answer{list.revision, list.complete, answered_ && directory != lastDirectory_};
  const UpdateDecision decision =
      decideUpdate(answer, table_.empty() ? std::nullopt : std::optional(table_.revision()), freshness());
  // A single answer of an earlier revision may be a delayed one; applying it would undo drains that were
  // announced since. A directory that was restored from a backup sends such an answer again, and then it is
  // applied.
  const bool lags = decision == UpdateDecision::kApplyRollback && answered_ &&
                    freshness() == Freshness::kFresh && !rollbackSuspected_;
  rollbackSuspected_ = rollbackSuspected_ || lags || decision == UpdateDecision::kGap;
  logDecision(decision, list.revision, directory);
  needsCompleteList_ = lags || decision == UpdateDecision::kGap || decision == UpdateDecision::kForeignDelta;
  lastUpdateRejected_ = needsCompleteList_ || decision == UpdateDecision::kContradicted;
  if (lastUpdateRejected_) {
    ++parts_.counters.listsRejected;
    return std::nullopt;
  }
  rollbackSuspected_ = false;
  const bool keepMissing = list.complete && guard_.enabled() && guardKeepsMissing(list);
  lastDirectory_ = directory;
  const bool confirmsInitialList = !std::exchange(answered_, true);
  complete_ = true;
  confirmedAt_ = now();
  TableUpdate update = table_.apply(list, ListUpdateKind::kSnapshot, confirmedAt_.wallMs, keepMissing);
  if (options_.cacheEnabled) {
    cache_.markChanged(update.changedUids);
    cache_.markConfirmed();
  }
  logFreshness();
  if (!list.complete && update.event.entries.empty() && !confirmsInitialList) return std::nullopt;
  return std::move(update.event);
}

void EndpointDirectory::logDecision(UpdateDecision decision, std::int64_t revision, std::size_t directory) {
  const std::string theirs = std::to_string(revision);
  const std::string ours = std::to_string(table_.revision());
  const auto logRepeated = [&](const char* event, const std::string& text) {
    parts_.log.writeRateLimited(parts_.clock.steadyMs(), LogLevel::kWarning, event, "discovery: " + text,
                                {{"directory", directory}, {"rev", revision}, {"known", table_.revision()}});
  };
  switch (decision) {
    case UpdateDecision::kApply:
    case UpdateDecision::kForeignDelta:  // expected when the relay has switched to another directory
      return;
    case UpdateDecision::kApplyRollback:
      return logRepeated("list.back", "the directory went back from revision " + ours + " to " + theirs);
    case UpdateDecision::kGap:
      return logRepeated("list.gap", "a delta of revision " + theirs + " does not follow revision " + ours +
                                         "; requesting the complete list");
    case UpdateDecision::kContradicted:
      return logRepeated("list.contradicted", "directory " + std::to_string(directory) + " sent revision " +
                                                  theirs + ", older than revision " + ours +
                                                  " of another directory; ignored while that is fresh");
  }
}

bool EndpointDirectory::guardKeepsMissing(const EndpointList& list) {
  const std::size_t missing = table_.countMissingFrom(list);
  if (missing == 0) {
    guard_.close();
    return false;
  }
  const bool wasActive = guard_.active();
  if (!guard_.keepsMissing(table_.all().size(), missing, parts_.clock.steadyMs())) return false;
  if (wasActive) return true;
  ++parts_.counters.listsRejected;
  parts_.log.write(LogLevel::kWarning, "list.guard",
                   "discovery: a complete list omits " + std::to_string(missing) + " of " +
                       std::to_string(table_.all().size()) + " endpoints; retaining them for now",
                   {{"missing", missing}, {"endpoints", table_.all().size()}});
  return true;
}

double EndpointDirectory::dueMs() const {
  double dueMs = std::numeric_limits<double>::infinity();
  if (options_.cacheEnabled) dueMs = cache_.dueMs();
  if (guard_.active()) dueMs = std::min(dueMs, guard_.untilMs());
  return dueMs;
}

std::optional<EndpointListEvent> EndpointDirectory::tick() {
  const double nowMs = parts_.clock.steadyMs();
  if (options_.cacheEnabled && nowMs >= cache_.dueMs()) cache_.step(table_);
  if (!guard_.expired(nowMs)) return std::nullopt;
  guard_.close();
  TableUpdate update = table_.removeMissing();
  parts_.log.write(LogLevel::kWarning, "list.guard-over",
                   "discovery: removed " + std::to_string(update.changedUids.size()) +
                       " endpoints that complete lists have omitted",
                   {{"endpoints", update.changedUids.size()}});
  if (options_.cacheEnabled) cache_.markChanged(update.changedUids);
  if (update.event.entries.empty()) return std::nullopt;
  return std::move(update.event);
}

ListAge EndpointDirectory::age() const { return ageOf(confirmedAt_, now()); }

Freshness EndpointDirectory::freshness() const { return freshnessPolicy_.freshnessOf(age(), complete_); }

void EndpointDirectory::logFreshness() {
  const Freshness state = freshness();
  if (state == loggedFreshness_) return;
  std::string rejected;
  for (const Class& requestClass : options_.classes)
    if (!freshnessPolicy_.accepts(state, requestClass.name, requestClass.idempotency))
      rejected += " " + requestClass.name;
  if (rejected.empty()) rejected = " none";
  parts_.log.write(state == Freshness::kFresh ? LogLevel::kInfo : LogLevel::kWarning, "list.freshness",
                   std::string("discovery: the list is ") + nameOf(state) + "; rejected classes:" + rejected,
                   {{"freshness", nameOf(state)}, {"rejected", rejected.substr(1)}});
  loggedFreshness_ = state;
}

std::optional<double> EndpointDirectory::rejects(int classIndex) {
  logFreshness();
  const Class& requestClass = options_.classes.at(static_cast<std::size_t>(classIndex));
  if (freshnessPolicy_.accepts(loggedFreshness_, requestClass.name, requestClass.idempotency))
    return std::nullopt;
  ++parts_.counters.failFastStale;
  return freshnessPolicy_.retryAfterMs(loggedFreshness_);
}

}  // namespace myrtleloft
