// What the links of a fleet may take, per peer and in all. No message of one peer, and no number of
// strangers, takes more.
//
//   for each peer   queue                160 KiB to 1 MiB of payload: a sixteenth of memory_mb over all peers
//                   members' lane        32 KiB
//                   frame half read      128 KiB, and one read of 16 KiB
//                   descriptors          2: a link, and one that may take its place
//                   kernel's buffers     256 KiB asked for in each direction (it may count double)
//   in all          listener             1 descriptor
//                   not introduced yet   16 connections, of 17 KiB each
//
// For 100 peers at the least queue: 33 MB and 217 descriptors in the relay; config/config.cpp refuses a fleet
// that would take more than half of either limit.
#pragma once

#include <algorithm>
#include <cstddef>

#include "fleet/message.h"

namespace myrtleloft {

inline constexpr std::size_t kMinQueueBytes = 160 * 1024, kMaxQueueBytes = 1024 * 1024,
                             kMembersLaneBytes = 32 * 1024, kQueuesPerMemory = 16;
inline constexpr std::size_t kReadChunkBytes = 16 * 1024;  // net/socket.h reads so much at once
inline constexpr std::size_t kMaxHelloPayloadBytes = 1024;
inline constexpr std::size_t kMaxPendingIntroductions = 16;

struct FleetNeeds {
  int descriptors = 0;
  std::size_t bytes = 0;
};

// The queue of one of so many peers.
inline std::size_t queueBytesFor(std::size_t peers, std::size_t memoryBytes) {
  return std::clamp(memoryBytes / kQueuesPerMemory / std::max<std::size_t>(1, peers), kMinQueueBytes,
                    kMaxQueueBytes);
}

// At the most, with each queue as long as it may be.
inline FleetNeeds fleetNeeds(std::size_t peers, std::size_t memoryBytes) {
  const std::size_t peer =
      queueBytesFor(peers, memoryBytes) + kMembersLaneBytes + kMaxFleetPayloadBytes + kReadChunkBytes;
  return {static_cast<int>(1 + 2 * peers + kMaxPendingIntroductions),
          peers * peer + kMaxPendingIntroductions * (kMaxHelloPayloadBytes + kReadChunkBytes)};
}

}  // namespace myrtleloft
