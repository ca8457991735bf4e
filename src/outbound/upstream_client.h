// Sends calls to endpoints over HTTP/1.1 and reports their outcomes.
//
// Each call has a connection of its own. An HTTP/1.1 answer is matched to its call only by its position on
// the connection, so on a reused connection a duplicate answer to the previous call could not be
// distinguished from the answer to the next one.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "counters/counters.h"
#include "discovery/endpoint_table.h"
#include "myrtleloft/dispatcher.h"
#include "net/client_connection.h"
#include "net/loop.h"

namespace myrtleloft {

struct CallItem {
  std::string id, key, body;
  double timeoutMs = 0;  // counted from UpstreamClient::call
  // The latest time at which the relay stops waiting for the answer, in milliseconds on the loop's clock.
  double answerDeadlineMs = std::numeric_limits<double>::infinity();
  // The time by which the last byte must be written, in milliseconds on the loop's clock. A call that misses
  // it is reported as not sent.
  double sendDeadlineMs = std::numeric_limits<double>::infinity();
};

struct CallOutcome {
  std::string id;
  Outcome outcome = Outcome::kFailure;
  bool completed = false;         // delivered or expired: the request must not be sent again
  std::int64_t retryAfterMs = 0;  // stated by the endpoint; 0 if it stated none
  bool halfClosed = false;        // the relay had abandoned the call and ended its sending side
  // The latest time at which the answer may have arrived, in milliseconds on the loop's clock. Without an
  // answer, the time at which the call ended.
  double arrivedMs = 0;
};

// A call whose first byte is about to be written. `items` are the requests that it still carries.
struct OutgoingCall {
  std::uint64_t number = 0;  // unique within the process, never 0
  const std::string& uid;
  const Address& to;
  const std::vector<CallItem>& items;
};

class CallListener {
 public:
  virtual ~CallListener() = default;
  // Called just before the first byte of a call is written, and again if that byte could not be written. If
  // it returns false, the call is reported as not sent.
  virtual bool maySend(const OutgoingCall& /*call*/) { return true; }
  // The endpoint sent bytes that are not the answer to a call.
  virtual void onUnsolicited(const std::string& /*uid*/) {}
  // Reports outcomes of one call. It may be called several times for a call; each request is reported once.
  virtual void onOutcomes(const std::string& uid, const std::vector<CallOutcome>& outcomes,
                          const LoadReport& report) = 0;
};

struct UpstreamClientOptions {
  double connectTimeoutMs = 0;
  std::vector<std::string> reportColumns;
  std::size_t callSlots = 0;  // maximum number of calls with a connection at the same time; 0 means no limit
};

// Used from the loop's thread only. Must be given a listener before the first call.
class UpstreamClient {
 public:
  UpstreamClient(Loop& loop, Counters& counters, UpstreamClientOptions options)
      : loop_(loop), counters_(counters), options_(std::move(options)) {}

  void setListener(CallListener& listener) { listener_ = &listener; }
  // Starts one call; several items are sent as one bulk call. If all slots are taken, the call is queued. The
  // listener is never called before this function returns.
  void call(const EndpointRecord& endpoint, std::vector<CallItem> items);
  // Abandons the call that carries this request, including all other items of the call.
  void abandon(const std::string& id);
  // Reports unsent calls as not sent if their endpoint has been removed, is draining or has another address.
  // Calls that have been sent continue, because the endpoint may have executed them.
  void onEndpointsChanged(const EndpointTable& endpoints);
  // Reports as not sent all calls to the affected endpoints whose last byte has not been written, because
  // they wait for a slot, for the connection or for the endpoint to read.
  void cancelUnsent(const std::function<bool(const std::string& uid)>& affected);
  // Returns the number of calls without an outcome, including queued ones.
  std::size_t pendingCalls() const { return calls_.size(); }

 private:
  using Connection = std::unique_ptr<ClientConnection>;
  struct Call {
    std::string uid;
    Address address;
    std::vector<CallItem> items;  // without an outcome yet
    bool bulk = false;
    Connection connection;  // nullptr while the call waits for a slot
    // Set if the call was abandoned and its connection half-closed: the outcome if no answer arrives.
    std::optional<Outcome> halfClosedOutcome;
    Loop::Timer connectTimer = Loop::kNoTimer, timeoutTimer = Loop::kNoTimer,
                sendDeadlineTimer = Loop::kNoTimer;
  };

  // Milliseconds until the answer deadline of the item.
  double remainingMs(const CallItem& item) const;
  std::string serialize(const Call& call) const;
  // Passes the serialized call to its connection, replacing the bytes that it has not begun to write.
  void write(std::uint64_t number);
  void start(std::uint64_t number);
  void startWaitingCalls();
  void cancelCalls(const std::vector<std::uint64_t>& numbers);
  // Removes a finished call from the table and cancels its timers.
  Call removeCall(std::uint64_t number);
  void awaitDescriptor(std::uint64_t number);
  void armTimeout(std::uint64_t number);
  void onTimeout(std::uint64_t number);
  void armSendDeadline(std::uint64_t number);
  void onResult(std::uint64_t number, const ClientConnection::Result& result);
  // Ends a call that has no answer. If its last byte was not written, it cannot have been executed. Otherwise
  // the connection is half-closed first: an answer that the endpoint wrote before it noticed may state a
  // Retry-After, which is binding, or a delivery.
  void giveUp(std::uint64_t number, Outcome outcome);
  void halfClose(std::uint64_t number, Outcome outcome);
  void report(const Call& call, double arrivedMs, std::vector<CallOutcome> outcomes,
              const LoadReport& loadReport);
  void reportAll(const Call& call, double arrivedMs, const CallOutcome& common, const LoadReport& loadReport);
  // For a call that received no answer.
  void reportUnanswered(const Call& call, Outcome outcome);
  void reportInvalidAnswer(const Call& call, double arrivedMs, const HttpMessage& partialAnswer);

  Loop& loop_;
  Counters& counters_;
  UpstreamClientOptions options_;
  CallListener* listener_ = nullptr;
  std::map<std::uint64_t, Call> calls_;
  std::set<std::uint64_t> waitingForSlot_;  // numbers of the queued calls, oldest first
  std::uint64_t lastNumber_ = 0;
};

}  // namespace myrtleloft
