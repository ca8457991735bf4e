// Replication messages between relays: the payloads of FleetKind kVoteAsk to kFenced, encoded by cereal.
//
//   std::string payload = encode(CopyRequest{...});
//   CopyRequest copy;
//   if (!decode(payload, copy)) ...       // malformed or out of bounds: the content of `copy` is unspecified
//
// Decoding limits the length of names (kMaxNameBytes), ensembles (kMaxReplicas) and relay lists (kMaxRelays),
// and decodes each record, so that only records that the journal can read are accepted. Thread-safe; O(size).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "copies/names.h"

namespace myrtleloft {

inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxReplicas = 8;
inline constexpr std::size_t kMaxRelays = 128;
// A message is sent once its records reach this size. Leaves space in kMaxFleetPayloadBytes for the header
// and one further record with the largest body (64 KiB).
inline constexpr std::size_t kMessageBytes = 32 * 1024;

enum class RequestPhase : std::uint8_t { kPrepare, kAccept, kJoin };

// Payload of kVoteAsk: a prepare, accept or join request to an acceptor.
struct AcceptorRequest {
  RequestPhase phase = RequestPhase::kPrepare;
  LedgerId ledger;    // kJoin: requests the registers after this one, or from the first if `creator` is empty
  Ballot ballot;      // kJoin: identifies the attempt to join
  LedgerState value;  // kAccept: the proposed value
  FolderGeneration generation;         // kJoin: the joining relay's
  bool registersEmpty = false;         // kJoin: the joining relay has no registers yet
  std::vector<KnownGeneration> known;  // the folder generations that the sender knows
};

// The state of an acceptor for one register.
struct ConfigRegisterCopy {
  LedgerId ledger;
  Ballot promised, accepted;
  LedgerState value;
};

// Payload of kVote: an acceptor's response.
struct AcceptorResponse {
  RequestPhase phase = RequestPhase::kPrepare;
  LedgerId ledger;
  Ballot ballot;  // of the request
  bool granted = false;
  FolderGeneration generation;  // of the acceptor
  std::vector<KnownGeneration> known;
  Ballot accepted;    // granted kPrepare: the last accepted ballot; not granted: the promised ballot
  LedgerState value;  // the value accepted with ballot `accepted`
  std::vector<ConfigRegisterCopy> registers;  // granted kJoin: the registers after the requested one
  bool last = false;                          // no further registers follow
};

// Payload of kCopy: the next message of a replication stream from a ledger's owner to one replica.
struct CopyRequest {
  LedgerId ledger;
  std::uint64_t epoch = 0;
  std::uint64_t stream = 0;    // within an epoch, later streams have larger numbers
  std::uint64_t sequence = 0;  // starts at 1, which makes the replica begin a new table
  bool tableComplete = false;  // the new table is complete and replaces the old one
  bool closed = false;         // no requests are pending; the replica may delete the ledger
  std::vector<std::string> records;
};

// kUnknown: the replica does not have the stream. kFull: the records exceed its capacity.
enum class CopyOutcome : std::uint8_t { kStored, kRejectedByFence, kUnknown, kFull };

// Payload of kHeld: acknowledges a CopyRequest.
struct CopyAck {
  LedgerId ledger;
  std::uint64_t epoch = 0, stream = 0, sequence = 0;  // all messages up to `sequence` are stored
  CopyOutcome outcome = CopyOutcome::kStored;
  std::uint64_t life = 0;    // the replica's
  std::uint64_t fenced = 0;  // kRejectedByFence: records of lower epochs are rejected
};

// Payload of kFence: asks a replica to reject lower epochs from now on and to return its requests with ids
// greater than `after`.
struct FenceRequest {
  LedgerId ledger;
  std::uint64_t epoch = 0;
  std::string after;
};

// Payload of kFenced: the response to a FenceRequest.
struct FenceResponse {
  LedgerId ledger;
  std::uint64_t epoch = 0;  // of the request
  std::uint64_t life = 0;
  bool done = false;  // the fence is set at `epoch`; false if `fenced` is higher
  std::uint64_t fenced = 0;
  std::string after;  // of the request
  bool last = false;
  std::vector<std::string> records;  // AcceptedRecords in order of request id
};

std::string encode(const AcceptorRequest& message);
std::string encode(const AcceptorResponse& message);
std::string encode(const CopyRequest& message);
std::string encode(const CopyAck& message);
std::string encode(const FenceRequest& message);
std::string encode(const FenceResponse& message);
bool decode(std::string_view payload, AcceptorRequest& message);
bool decode(std::string_view payload, AcceptorResponse& message);
bool decode(std::string_view payload, CopyRequest& message);
bool decode(std::string_view payload, CopyAck& message);
bool decode(std::string_view payload, FenceRequest& message);
bool decode(std::string_view payload, FenceResponse& message);

}  // namespace myrtleloft
