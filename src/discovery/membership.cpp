#include "discovery/membership.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace myrtleloft {

Membership::Membership(const Parts& parts, Options options)
    : parts_(parts),
      options_(std::move(options)),
      kept_({parts.files, parts.clock, parts.disk, parts.log}, options_.kept),
      trust_(options_.trust),
      guard_(options_.guard),
      machineRun_(parts.clock.machineRun()) {}

Stamp Membership::now() const { return {parts_.clock.wallMs(), parts_.clock.machineMs(), machineRun_}; }

ListEvent Membership::begin(const DestinationList& known, double knownWallMs) {
  KeptFound found;
  if (options_.keeps) {
    found = readKept(parts_.files, options_.kept.folder, &options_.kept.names);
    if (!found.fault.empty())
      parts_.log << "discovery: the kept list is "
                 << (found.there ? "not whole, what was told last may be missing: " : "not used: ")
                 << found.fault << std::endl;
    if (found.unknownNames > 0)
      parts_.log
          << "discovery: " << found.unknownNames
          << " endpoints of the kept list are in zones or of kinds that the configuration does not name"
          << std::endl;
    kept_.begin(found);
  }
  const ListOffer kept{found.there, found.list.rev, found.told, found.whole};
  const ListOffer told{known.all, known.rev, {knownWallMs, 0, ""}, true};
  const Beginning beginning = beginWith(kept, told, now());
  const bool useKept = beginning == Beginning::kKept;
  confirmed_ = useKept ? found.told : told.told;
  capped_ = useKept && !found.whole;
  if (beginning != Beginning::kNothing) {
    parts_.log << "discovery: beginning with the " << (useKept ? "kept list" : "list of the configuration")
               << ", rev " << (useKept ? found.list.rev : known.rev) << ", ";
    if (const ListAge a = age(); a.known)
      parts_.log << "last confirmed " << std::llround(a.ms / 1000) << " s ago";
    else
      parts_.log << "of unknown age";
    parts_.log << ", " << nameOf(trust()) << std::endl;
  }
  return set_.apply(useKept ? found.list : known, ListKind::kDisk, confirmed_.wallMs).event;
}

std::optional<ListEvent> Membership::told(const DestinationList& list, std::size_t directory) {
  doubted_ = true;
  const bool another = directory != directory_ && spoken_;
  const bool back = list.rev < set_.rev() && !set_.empty();
  if (back && !list.all) {
    ++parts_.counters.listsDoubted;
    parts_.log << "discovery: a change of rev " << list.rev << " does not follow on rev " << set_.rev()
               << "; asking for the whole list" << std::endl;
    wantsWhole_ = true;
    return std::nullopt;
  }
  if (back && another && trust() == Trust::kFresh) {
    ++parts_.counters.listsDoubted;
    parts_.log << "discovery: directory " << directory << " has rev " << list.rev << ", rev " << set_.rev()
               << " was told by another; not believed while that is fresh" << std::endl;
    return std::nullopt;
  }
  if (back)
    parts_.log << "discovery: the directory has gone back from rev " << set_.rev() << " to " << list.rev
               << std::endl;
  // Revs of two directories may count different things: after a change of directory only all of it counts.
  if (another && !list.all) {
    wantsWhole_ = true;
    return std::nullopt;
  }
  bool keep = false;
  const double nowMs = parts_.clock.steadyMs();
  if (list.all) {
    const std::size_t missing = set_.leftOutBy(list);
    const bool held = guard_.holding();
    keep = missing > 0 && guard_.open(set_.all().size(), missing, nowMs);
    if (missing == 0) guard_.close();
    if (keep && !held) {
      ++parts_.counters.listsDoubted;
      parts_.log << "discovery: a list leaves out " << missing << " of " << set_.all().size()
                 << " endpoints at once; they are kept for now" << std::endl;
    }
  }
  wantsWhole_ = doubted_ = false;
  directory_ = directory;
  spoken_ = true;
  capped_ = false;
  confirmed_ = now();
  Applied applied = set_.apply(list, ListKind::kSnapshot, confirmed_.wallMs, keep);
  if (options_.keeps) {
    kept_.changed(applied.changed);
    kept_.confirmed();
  }
  tellTrust();
  if (!list.all && applied.event.entries.empty()) return std::nullopt;
  return std::move(applied.event);
}

double Membership::dueMs() const {
  return std::min(options_.keeps ? kept_.dueMs() : std::numeric_limits<double>::infinity(),
                  guard_.holding() ? guard_.untilMs() : std::numeric_limits<double>::infinity());
}

std::optional<ListEvent> Membership::tick() {
  const double nowMs = parts_.clock.steadyMs();
  if (options_.keeps && nowMs >= kept_.dueMs()) kept_.step(set_);
  if (!guard_.over(nowMs)) return std::nullopt;
  guard_.close();
  Applied applied = set_.dropMissing();
  parts_.log << "discovery: " << applied.changed.size() << " endpoints that were left out go now"
             << std::endl;
  if (options_.keeps) kept_.changed(applied.changed);
  if (applied.event.entries.empty()) return std::nullopt;
  return std::move(applied.event);
}

ListAge Membership::age() const { return ageOf(confirmed_, now()); }

Trust Membership::trust() const {
  const Trust byAge = trust_.of(age());
  return capped_ ? std::max(byAge, Trust::kOld) : byAge;
}

void Membership::tellTrust() {
  const Trust state = trust();
  if (state == toldTrust_) return;
  parts_.log << "discovery: the list is " << nameOf(state) << "; refused are:";
  bool any = false;
  for (const Class& c : options_.classes) {
    if (trust_.accepts(state, c.name, c.repeat)) continue;
    parts_.log << ' ' << c.name;
    any = true;
  }
  parts_.log << (any ? "" : " none") << std::endl;
  toldTrust_ = state;
}

std::optional<Membership::Refusal> Membership::refuses(int cls) {
  tellTrust();
  const Class& c = options_.classes.at(static_cast<std::size_t>(cls));
  if (trust_.accepts(toldTrust_, c.name, c.repeat)) return std::nullopt;
  ++parts_.counters.failFastStale;
  return Refusal{trust_.comeBackMs(toldTrust_), toldTrust_};
}

}  // namespace myrtleloft
