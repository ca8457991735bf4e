#include "copies/voter.h"

#include <algorithm>
#include <utility>

#include "copies/planted.h"
#include "copies/serialize.h"

namespace myrtleloft {

namespace {
constexpr char kSelfKey[] = "voter";
constexpr char kKnownKey[] = "lives";
constexpr char kRegisterKey[] = "register/";
constexpr std::size_t kMaxRegistersPerResponse = 64;  // up to about 400 bytes each
}  // namespace

Acceptor::Acceptor(Self self, const StoredEntries& stored, ReplicationStep& out) : self_(std::move(self)) {
  if (const auto at = stored.find(kSelfKey); at != stored.end()) {
    std::pair<std::uint64_t, bool> storedSelf;
    BufferInputArchive in(at->second);
    in(storedSelf.first, storedSelf.second);
    ordinal_ = storedSelf.first;
    active_ = storedSelf.second;
  } else {
    if (isInjected(InjectedBug::kEmptyAcceptorVotes)) active_ = true;
    storeSelf(out);
  }
  if (const auto at = stored.find(kKnownKey); at != stored.end()) {
    std::vector<KnownGeneration> known;
    if (read(at->second, known))
      for (const KnownGeneration& entry : known) known_[entry.name] = entry.generation;
  }
  for (auto at = stored.lower_bound(kRegisterKey); at != stored.end() && at->first.starts_with(kRegisterKey);
       ++at) {
    ConfigRegisterCopy copy;
    if (read(at->second, copy)) registers_[copy.ledger] = {copy.promised, copy.accepted, copy.value};
  }
}

std::size_t Acceptor::joinQuorumSize() const {
  const std::size_t all = self_.others.size() + 1, majority = all / 2 + 1;
  return all - majority + 1;
}

void Acceptor::onTick(double nowMs, ReplicationStep& out) {
  if (active_ || nowMs - lastJoinRequestMs_ < kRetryMs) return;
  lastJoinRequestMs_ = nowMs;
  for (const std::string& other : self_.others)
    if (!sources_[other].done) sendJoinRequest(other, out);
}

void Acceptor::sendJoinRequest(const std::string& to, ReplicationStep& out) {
  AcceptorRequest request;
  request.phase = RequestPhase::kJoin;
  request.ledger = sources_[to].after;
  request.ballot = {ordinal_, self_.life};
  request.generation = generation();
  request.registersEmpty = registers_.empty();
  request.known = known();
  out.sends.push_back({to, FleetKind::kVoteAsk, encode(request)});
}

std::optional<AcceptorResponse> Acceptor::onRequest(const std::string& from, const AcceptorRequest& request,
                                                    ReplicationStep& out) {
  if (request.phase == RequestPhase::kJoin) return onJoin(from, request, out);
  if (!active_) return std::nullopt;
  ConfigRegister& configRegister = registers_[request.ledger];
  AcceptorResponse response;
  response.phase = request.phase;
  response.ledger = request.ledger;
  response.ballot = request.ballot;
  response.generation = generation();
  response.known = known();
  const bool prepare = request.phase == RequestPhase::kPrepare;
  response.granted = request.ballot >= configRegister.promised;
  if (!response.granted) {
    response.accepted = configRegister.promised;
    return response;
  }
  if (prepare) {
    response.accepted = configRegister.accepted;
    response.value = configRegister.value;
  } else {
    configRegister.accepted = request.ballot;
    configRegister.value = request.value;
  }
  configRegister.promised = request.ballot;
  storeRegister(request.ledger, out);
  return response;
}

AcceptorResponse Acceptor::onJoin(const std::string& from, const AcceptorRequest& request,
                                  ReplicationStep& out) {
  learnGeneration(request.known, out);
  learnGeneration({from, request.generation}, out);
  AcceptorResponse response;
  response.phase = RequestPhase::kJoin;
  response.ledger = request.ledger;
  response.ballot = request.ballot;
  response.generation = generation();
  response.granted = active_ && known_[from] == request.generation;
  response.known = known();
  if (response.granted) {
    auto at = request.ledger.creator.empty() ? registers_.begin() : registers_.upper_bound(request.ledger);
    for (; at != registers_.end() && response.registers.size() < kMaxRegistersPerResponse; ++at)
      response.registers.push_back({at->first, at->second.promised, at->second.accepted, at->second.value});
    response.last = at == registers_.end();
  } else if (!active_ && request.registersEmpty && known_[from] == request.generation) {
    emptyPeers_[from] = request.known;
    std::sort(emptyPeers_[from].begin(), emptyPeers_[from].end());
    activateIfReady(out);
  }
  return response;
}

void Acceptor::onResponse(const std::string& from, const AcceptorResponse& response, ReplicationStep& out) {
  const std::uint64_t requestOrdinal = ordinal_;
  learnGeneration(response.known, out);
  learnGeneration({from, response.generation}, out);
  if (active_ || !response.granted || response.ballot != Ballot{requestOrdinal, self_.life} ||
      requestOrdinal != ordinal_)
    return;
  Source& source = sources_[from];
  if (source.done || source.after != response.ledger) return;
  for (const ConfigRegisterCopy& reported : response.registers) {
    ConfigRegister& configRegister = registers_[reported.ledger];
    configRegister.promised = std::max(configRegister.promised, reported.promised);
    if (reported.accepted > configRegister.accepted) {
      configRegister.accepted = reported.accepted;
      configRegister.value = reported.value;
    }
    storeRegister(reported.ledger, out);
    source.after = reported.ledger;
  }
  source.done = response.last;
  if (source.done)
    activateIfReady(out);
  else
    sendJoinRequest(from, out);
}

void Acceptor::activateIfReady(ReplicationStep& out) {
  const auto done = static_cast<std::size_t>(
      std::count_if(sources_.begin(), sources_.end(), [](const auto& s) { return s.second.done; }));
  const std::vector<KnownGeneration> knownGenerations = known();
  const bool foundsFleet =
      registers_.empty() && knownGenerations.size() == self_.others.size() + 1 &&
      std::all_of(self_.others.begin(), self_.others.end(), [&](const std::string& other) {
        const auto at = emptyPeers_.find(other);
        return at != emptyPeers_.end() && at->second == knownGenerations;
      });
  if (done < joinQuorumSize() && !foundsFleet) return;
  // Each relay needs the final state of all others to become active, and this one stops sending join requests
  // now, so it sends a last one.
  if (foundsFleet)
    for (const std::string& other : self_.others) sendJoinRequest(other, out);
  active_ = true;
  storeSelf(out);
  sources_.clear();
  emptyPeers_.clear();
}

std::vector<KnownGeneration> Acceptor::known() const {
  std::vector<KnownGeneration> all{{self_.name, generation()}};
  for (const auto& [name, generation] : known_) all.push_back({name, generation});
  std::sort(all.begin(), all.end());
  return all;
}

void Acceptor::learnGeneration(const std::vector<KnownGeneration>& known, ReplicationStep& out) {
  for (const KnownGeneration& entry : known) learnGeneration(entry, out);
}

void Acceptor::learnGeneration(const KnownGeneration& reported, ReplicationStep& out) {
  if (reported.name == self_.name) {
    // The others know a folder of this relay that was lost, possibly before it became active. Choose a larger
    // ordinal, so that they do not regard that folder as the later one.
    if (reported.generation.life == self_.life || reported.generation < generation()) return;
    ordinal_ = reported.generation.ordinal + 1;
    sources_.clear();
    storeSelf(out);
    return;
  }
  if (std::find(self_.others.begin(), self_.others.end(), reported.name) == self_.others.end()) return;
  if (reported.generation <= known_[reported.name]) return;
  known_[reported.name] = reported.generation;
  std::vector<KnownGeneration> all;
  for (const auto& [name, generation] : known_) all.push_back({name, generation});
  out.stores.push_back({kKnownKey, bytesOf(all)});
}

void Acceptor::storeRegister(const LedgerId& id, ReplicationStep& out) {
  const ConfigRegister& configRegister = registers_[id];
  out.stores.push_back({kRegisterKey + bytesOf(id),
                        bytesOf(ConfigRegisterCopy{id, configRegister.promised, configRegister.accepted,
                                                   configRegister.value})});
}

void Acceptor::storeSelf(ReplicationStep& out) {
  std::string bytes;
  BufferOutputArchive archive(bytes);
  archive(ordinal_, active_);
  out.stores.push_back({kSelfKey, bytes});
}

}  // namespace myrtleloft
