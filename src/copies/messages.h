// What the copies of two relays say to each other: the payloads of FleetKind kVoteAsk to kFenced, by cereal.
//
//   std::string payload = encode(CopyMessage{...});
//   CopyMessage copy;
//   if (!decode(payload, copy)) ...       // not one of ours, or out of bounds: `copy` is then anything
//
// Decoding bounds names (kMostName), ensembles (kMostHolders), relays (kMostRelays) and records, and reads
// each record: what is taken on is what the journal can read. Safe for several threads; O(size).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "copies/names.h"

namespace myrtleloft {

inline constexpr std::size_t kMostName = 64;
inline constexpr std::size_t kMostHolders = 8;
inline constexpr std::size_t kMostRelays = 128;
// Of records in one message: what leaves room for heads in kMaxFleetPayloadBytes, with one record of the
// largest body (64 KiB) beyond it.
inline constexpr std::size_t kFullMessage = 32 * 1024;

enum class VotePhase : std::uint8_t { kPrepare, kAccept, kJoin };

// kVoteAsk.
struct VoteAsk {
  VotePhase phase = VotePhase::kPrepare;
  LedgerId ledger;     // kJoin: registers behind it are asked for, from the first if its maker is empty
  Ballot ballot;       // kJoin: its nonce numbers the attempt to join
  LedgerState value;   // kAccept: what to take
  LifeMark mark;       // kJoin: of the one who joins
  bool blank = false;  // kJoin: it holds nothing yet
  std::vector<KnownLife> known;
};

struct RegisterCopy {
  LedgerId ledger;
  Ballot promised, accepted;
  LedgerState value;
};

// kVote.
struct Vote {
  VotePhase phase = VotePhase::kPrepare;
  LedgerId ledger;
  Ballot ballot;  // of the ask
  bool yes = false;
  LifeMark mark;  // of the voter
  std::vector<KnownLife> known;
  Ballot accepted;                      // kPrepare and yes: the newest it took; no: what it promised instead
  LedgerState value;                    // with `accepted`
  std::vector<RegisterCopy> registers;  // kJoin and yes: those behind the one asked for
  bool last = false;                    // there are no more
};

// kCopy: the next part of a stream of records from a ledger's owner to one holder.
struct CopyMessage {
  LedgerId ledger;
  std::uint64_t epoch = 0;
  std::uint64_t stream = 0;    // of two streams of one epoch the larger is the later
  std::uint64_t sequence = 0;  // from 1; with 1 the holder begins a new table beside the old one
  bool whole = false;          // from here on the new table is the ledger's, and the old one goes
  bool closed = false;         // nothing is owed, the holder may forget the ledger
  std::vector<std::string> records;
};

enum class HeldAs : std::uint8_t { kHeld, kFencedOff, kUnknown, kFull };

// kHeld.
struct HeldMessage {
  LedgerId ledger;
  std::uint64_t epoch = 0, stream = 0, sequence = 0;  // all up to there is held
  HeldAs as = HeldAs::kHeld;
  std::uint64_t life = 0;    // the holder's
  std::uint64_t fenced = 0;  // kFencedOff: the epoch below which nothing is taken
};

// kFence: take nothing below that epoch any more, and say what is held behind that id.
struct FenceMessage {
  LedgerId ledger;
  std::uint64_t epoch = 0;
  std::string after;
};

// kFenced.
struct FencedMessage {
  LedgerId ledger;
  std::uint64_t epoch = 0;  // of the fence
  std::uint64_t life = 0;
  bool done = false;  // it is fenced at that epoch; false: `fenced` is higher
  std::uint64_t fenced = 0;
  std::string after;  // of the question
  bool last = false;
  std::vector<std::string> records;  // each a whole request, by id
};

std::string encode(const VoteAsk& message);
std::string encode(const Vote& message);
std::string encode(const CopyMessage& message);
std::string encode(const HeldMessage& message);
std::string encode(const FenceMessage& message);
std::string encode(const FencedMessage& message);
bool decode(std::string_view payload, VoteAsk& message);
bool decode(std::string_view payload, Vote& message);
bool decode(std::string_view payload, CopyMessage& message);
bool decode(std::string_view payload, HeldMessage& message);
bool decode(std::string_view payload, FenceMessage& message);
bool decode(std::string_view payload, FencedMessage& message);

}  // namespace myrtleloft
