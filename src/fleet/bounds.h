// Bounds on the resources that the links of a fleet use, for each peer and in total. They hold whatever a
// peer sends and however many unidentified connections are opened.
//
//   for each peer   queue                 160 KiB to 1 MiB of payload: all queues share 1/16 of memory_mb
//                   membership lane       32 KiB
//                   partly read frame     128 KiB, and one read of 16 KiB
//                   descriptors           2: the link, and one connection that may replace it
//                   kernel buffers        256 KiB requested in each direction (the kernel may double it)
//   in total        listener              1 descriptor
//                   not introduced yet    16 connections of 17 KiB each
//
// With 100 peers and the smallest queue this is 33 MB and 217 descriptors in the relay. config/config.cpp
// rejects a fleet that would take more than half of either limit.
#pragma once

#include <algorithm>
#include <cstddef>

#include "fleet/message.h"

namespace myrtleloft {

inline constexpr std::size_t kMinQueueBytes = 160 * 1024, kMaxQueueBytes = 1024 * 1024,
                             kMembersLaneBytes = 32 * 1024, kQueuesPerMemory = 16;
inline constexpr std::size_t kReadChunkBytes = 16 * 1024;  // bytes that net/socket.h reads at once
inline constexpr std::size_t kMaxHelloPayloadBytes = 1024;
inline constexpr std::size_t kMaxPendingIntroductions = 16;

struct FleetNeeds {
  int descriptors = 0;
  std::size_t bytes = 0;
};

// Returns the size of each queue, in bytes, for the given number of peers.
inline std::size_t queueBytesFor(std::size_t peers, std::size_t memoryBytes) {
  return std::clamp(memoryBytes / kQueuesPerMemory / std::max<std::size_t>(1, peers), kMinQueueBytes,
                    kMaxQueueBytes);
}

// Returns the upper bound of descriptors and memory, with every queue full.
inline FleetNeeds fleetNeeds(std::size_t peers, std::size_t memoryBytes) {
  const std::size_t peer =
      queueBytesFor(peers, memoryBytes) + kMembersLaneBytes + kMaxFleetPayloadBytes + kReadChunkBytes;
  return {static_cast<int>(1 + 2 * peers + kMaxPendingIntroductions),
          peers * peer + kMaxPendingIntroductions * (kMaxHelloPayloadBytes + kReadChunkBytes)};
}

}  // namespace myrtleloft
