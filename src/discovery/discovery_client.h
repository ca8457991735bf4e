// Polls discovery for the endpoint list: one poll after another, regardless of their results, at one of
// several directories in rotation.
//
//   DiscoveryClient client({loop, directory, counters, log}, config.discovery, options);
//   client.start([&](EndpointListEvent event) { decisions(std::move(event)); });
//
// The client only does the I/O: EndpointDirectory decides whether an answer is applied, DirectoryRotation
// which directory is polled and when. An answer that cannot be used is logged and counted, and the known list
// is kept.
//
// Not thread-safe: used on the event loop's thread only. No function blocks or throws. A long answer is
// parsed in slices of bounded size, one per iteration of the loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "counters/counters.h"
#include "discovery/directory_rotation.h"
#include "discovery/endpoint_directory.h"
#include "discovery/list_reader.h"
#include "net/client_connection.h"
#include "net/loop.h"

namespace myrtleloft {

class DiscoveryClient {
 public:
  // Called on the event loop's thread with each change of the endpoints.
  using ChangeCallback = std::function<void(EndpointListEvent)>;
  // The objects that the client uses; they must outlive it.
  struct Parts {
    Loop& loop;
    EndpointDirectory& directory;
    Counters& counters;
    Log log;
  };
  struct Options {
    IndexNames names;
    std::vector<Address> otherDirectories;  // in addition to the directory in the configuration
    Backoff backoff;
    std::uint64_t seed = 0;  // seeds all random delays
    // The maximum size of an answer; a longer answer is an error.
    std::size_t maxListBytes = std::size_t{4} * 1024 * 1024;
  };

  // `discovery` is the address of the directory in the configuration. It must outlive the client, and may
  // change; see onAddressChanged.
  DiscoveryClient(const Parts& parts, const Address& discovery, Options options);

  // Starts polling: immediately if the list is not fresh or its confirmation is requested, otherwise after a
  // random delay of at most the start spread, so that the relays of a fleet that starts do not all poll at
  // the same time. Call once.
  void start(ChangeCallback changed);
  // Polls without a delay, because requests wait for the initial list to be confirmed. Does nothing once an
  // answer has been applied. May be called before `start`.
  void requestConfirmation();
  // Must be called after the address passed to the constructor has changed. Polls the new address for the
  // complete list, after a random delay of at most the reload spread, because the address changes for all
  // relays of a fleet at the same time. Until then the current poll continues, and its answer is used.
  void onAddressChanged();
  // Must be called when the syncer of the endpoint cache has a result to collect.
  void onSynced();

 private:
  enum class PollKind {
    kCompleteList,  // requests the complete list; the directory answers immediately
    kImmediate,     // requests the changes since the known revision; the directory answers immediately
    kLongPoll       // requests the changes since the known revision; the directory waits until there are some
  };

  // Whether the next poll must be answered immediately: the list is the initial one or not fresh.
  bool needsConfirmation() const;
  // Whether an answer is being received or parsed, or the directory has been asked for an immediate one.
  bool awaitsAnswer() const;
  // Polls immediately if the list is not fresh or its confirmation is requested, otherwise after a random
  // delay.
  void startPolling();
  void poll();
  // Drops what belongs to the old address, and has the complete list requested from the new one.
  void moveToNewAddress();
  // Opens a connection for the next poll.
  void openConnection();
  // The path and query of the next poll.
  std::string target() const;
  void armTimeout();
  // The poll has not been answered completely in time. If its answer has begun, the answer is still received
  // while the next poll is in flight.
  void onOverdue();
  // `from` is the connection that carried the poll; it may have been destroyed afterwards.
  void onResult(const ClientConnection* from, ClientConnection::Result result);
  // Parses a slice of the answer, and applies the list once the whole answer is parsed.
  void readSlice();
  void applyList(const EndpointList& list);
  void onUnusableAnswer(const std::string& error);
  // Polls the next directory after a backoff.
  void onPollFailed();
  // No byte of an answer, or no further byte, arrived in time: polls the next directory without a pause.
  void onTimeout();
  // Closes the connections of a poll that failed or timed out, and resets the state that belongs to them.
  void dropConnections();
  // Has the endpoint directory do the work that is due, such as writing a slice of the cache.
  void tick();
  void scheduleTick();
  const Address& address() const {
    return rotation_.current() == 0 ? discovery_ : options_.otherDirectories[rotation_.current() - 1];
  }

  Parts parts_;
  const Address& discovery_;
  Options options_;
  std::mt19937_64 random_;
  DirectoryRotation rotation_;
  ChangeCallback onChange_;
  PollKind kind_ = PollKind::kLongPoll;  // of the last poll
  double polledAtMs_ = 0;                // when the last poll started
  bool confirmationRequested_ = false;   // whether requests wait for the first answer
  bool lastPollImmediate_ = false;       // whether the last poll asked for an immediate answer
  bool needsCompleteList_ = false;       // whether the directory polled or its address has changed
  bool lastAnswerChanged_ = false;       // whether the last answer changed the known revision
  bool addressChanged_ = false;          // whether there is a new address that has not been polled yet
  bool longPollReopened_ = false;        // whether a long poll was repeated after a broken connection, and no
                                         // poll has been answered since
  bool followsAnswer_ = false;           // whether the last poll directly follows one that was answered
  std::string lastError_;                // why the last answer was unusable; empty if it was usable
  std::unique_ptr<ClientConnection> connection_;
  std::unique_ptr<ClientConnection> previousConnection_;  // of an overdue poll whose answer has begun
  std::optional<ListReader> reader_;                      // parses the current answer
  Loop::Timer pollTimer_ = Loop::kNoTimer;
  Loop::Timer tickTimer_ = Loop::kNoTimer;
  Loop::Timer addressTimer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
