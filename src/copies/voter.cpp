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
constexpr std::size_t kRegistersInVote = 64;  // some 400 bytes each at the most names
}  // namespace

Voter::Voter(Self self, const Stored& stored, CopyStep& out) : self_(std::move(self)) {
  if (const auto at = stored.find(kSelfKey); at != stored.end()) {
    std::pair<std::uint64_t, bool> kept;
    BufferInputArchive in(at->second);
    in(kept.first, kept.second);
    ordinal_ = kept.first;
    votes_ = kept.second;
  } else {
    if (planted(Flaw::kAmnesiacVotes)) votes_ = true;
    keepSelf(out);
  }
  if (const auto at = stored.find(kKnownKey); at != stored.end()) {
    std::vector<KnownLife> known;
    if (read(at->second, known))
      for (const KnownLife& k : known) known_[k.name] = k.mark;
  }
  for (auto at = stored.lower_bound(kRegisterKey); at != stored.end() && at->first.starts_with(kRegisterKey);
       ++at) {
    RegisterCopy copy;
    if (read(at->second, copy)) registers_[copy.ledger] = {copy.promised, copy.accepted, copy.value};
  }
}

std::size_t Voter::joinQuorum() const {
  const std::size_t all = self_.others.size() + 1, majority = all / 2 + 1;
  return all - majority + 1;
}

void Voter::onTick(double nowMs, CopyStep& out) {
  if (votes_ || nowMs - askedMs_ < kAskAgainMs) return;
  askedMs_ = nowMs;
  for (const std::string& other : self_.others)
    if (!sources_[other].done) ask(other, out);
}

void Voter::ask(const std::string& to, CopyStep& out) {
  VoteAsk ask;
  ask.phase = VotePhase::kJoin;
  ask.ledger = sources_[to].behind;
  ask.ballot = {ordinal_, self_.life};
  ask.mark = mark();
  ask.blank = registers_.empty();
  ask.known = known();
  out.sends.push_back({to, FleetKind::kVoteAsk, encode(ask)});
}

std::optional<Vote> Voter::onAsk(const std::string& from, const VoteAsk& ask, CopyStep& out) {
  if (ask.phase == VotePhase::kJoin) return onJoin(from, ask, out);
  if (!votes_) return std::nullopt;
  Register& r = registers_[ask.ledger];
  Vote vote;
  vote.phase = ask.phase;
  vote.ledger = ask.ledger;
  vote.ballot = ask.ballot;
  vote.mark = mark();
  vote.known = known();
  const bool prepare = ask.phase == VotePhase::kPrepare;
  vote.yes = ask.ballot >= r.promised;
  if (!vote.yes) {
    vote.accepted = r.promised;
    return vote;
  }
  if (prepare) {
    vote.accepted = r.accepted;
    vote.value = r.value;
  } else {
    r.accepted = ask.ballot;
    r.value = ask.value;
  }
  r.promised = ask.ballot;
  keep(ask.ledger, out);
  return vote;
}

Vote Voter::onJoin(const std::string& from, const VoteAsk& ask, CopyStep& out) {
  learn(ask.known, out);
  learn({from, ask.mark}, out);
  Vote vote;
  vote.phase = VotePhase::kJoin;
  vote.ledger = ask.ledger;
  vote.ballot = ask.ballot;
  vote.mark = mark();
  vote.yes = votes_ && known_[from] == ask.mark;
  vote.known = known();
  if (vote.yes) {
    auto at = ask.ledger.maker.empty() ? registers_.begin() : registers_.upper_bound(ask.ledger);
    for (; at != registers_.end() && vote.registers.size() < kRegistersInVote; ++at)
      vote.registers.push_back({at->first, at->second.promised, at->second.accepted, at->second.value});
    vote.last = at == registers_.end();
  } else if (!votes_ && ask.blank && known_[from] == ask.mark) {
    blanks_[from] = ask.known;
    std::sort(blanks_[from].begin(), blanks_[from].end());
    join(out);
  }
  return vote;
}

void Voter::onVote(const std::string& from, const Vote& vote, CopyStep& out) {
  const std::uint64_t asked = ordinal_;
  learn(vote.known, out);
  learn({from, vote.mark}, out);
  if (votes_ || !vote.yes || vote.ballot != Ballot{asked, self_.life} || asked != ordinal_) return;
  Source& source = sources_[from];
  if (source.done || source.behind != vote.ledger) return;
  for (const RegisterCopy& told : vote.registers) {
    Register& r = registers_[told.ledger];
    r.promised = std::max(r.promised, told.promised);
    if (told.accepted > r.accepted) {
      r.accepted = told.accepted;
      r.value = told.value;
    }
    keep(told.ledger, out);
    source.behind = told.ledger;
  }
  source.done = vote.last;
  if (source.done)
    join(out);
  else
    ask(from, out);
}

void Voter::join(CopyStep& out) {
  const auto done = static_cast<std::size_t>(
      std::count_if(sources_.begin(), sources_.end(), [](const auto& s) { return s.second.done; }));
  const std::vector<KnownLife> mine = known();
  const bool founded = registers_.empty() && mine.size() == self_.others.size() + 1 &&
                       std::all_of(self_.others.begin(), self_.others.end(), [&](const std::string& other) {
                         const auto at = blanks_.find(other);
                         return at != blanks_.end() && at->second == mine;
                       });
  if (done < joinQuorum() && !founded) return;
  // Those who have not heard it yet would wait for it: each founds by what all others said.
  if (founded)
    for (const std::string& other : self_.others) ask(other, out);
  votes_ = true;
  keepSelf(out);
  sources_.clear();
  blanks_.clear();
}

std::vector<KnownLife> Voter::known() const {
  std::vector<KnownLife> all{{self_.name, mark()}};
  for (const auto& [name, mark] : known_) all.push_back({name, mark});
  std::sort(all.begin(), all.end());
  return all;
}

void Voter::learn(const std::vector<KnownLife>& known, CopyStep& out) {
  for (const KnownLife& k : known) learn(k, out);
}

void Voter::learn(const KnownLife& told, CopyStep& out) {
  if (told.name == self_.name) {
    // A folder of ours that was lost before it ever voted: the others must not take it for the later one.
    if (told.mark.life == self_.life || told.mark < mark()) return;
    ordinal_ = told.mark.ordinal + 1;
    sources_.clear();
    keepSelf(out);
    return;
  }
  if (std::find(self_.others.begin(), self_.others.end(), told.name) == self_.others.end()) return;
  if (told.mark <= known_[told.name]) return;
  known_[told.name] = told.mark;
  std::vector<KnownLife> all;
  for (const auto& [name, mark] : known_) all.push_back({name, mark});
  out.stores.push_back({kKnownKey, bytesOf(all)});
}

void Voter::keep(const LedgerId& id, CopyStep& out) {
  const Register& r = registers_[id];
  out.stores.push_back(
      {kRegisterKey + bytesOf(id), bytesOf(RegisterCopy{id, r.promised, r.accepted, r.value})});
}

void Voter::keepSelf(CopyStep& out) {
  std::string bytes;
  BufferOutputArchive archive(bytes);
  archive(ordinal_, votes_);
  out.stores.push_back({kSelfKey, bytes});
}

}  // namespace myrtleloft
