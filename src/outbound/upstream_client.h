// The server side: calls to endpoints, each on a connection of its own. Knows nothing of clients.
//
// An HTTP/1.1 answer names no call; it belongs to one by its place on the connection alone. On a connection
// that has carried a call before, a second copy of that call's answer cannot be told from the next one's.
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
  double timeoutMs = 0;  // how long the relay waits for this one, from when its call begins
  // Until when the relay waits for it at most, on the loop's clock in ms, however late its call begins.
  double answerDeadlineMs = std::numeric_limits<double>::infinity();
  // By when its last byte must be written, on the loop's clock in ms; later it is reported as not sent.
  double sendDeadlineMs = std::numeric_limits<double>::infinity();
};

struct CallOutcome {
  std::string id;
  Outcome outcome = Outcome::kFailure;
  bool completed = false;
  std::int64_t retryAfterMs = 0;
  bool halfClosed = false;  // its call had been given up, and the answer was on its way
  // When the answer came, at the latest, on the loop's clock; without one, when the call was over.
  double arrivedMs = 0;
};

// A call whose first byte is about to be written, with the requests that it still carries.
struct OutgoingCall {
  std::uint64_t number = 0;  // no other call has it; never 0
  const std::string& uid;
  const Address& to;
  const std::vector<CallItem>& items;
};

class CallListener {
 public:
  virtual ~CallListener() = default;
  // Asked just before a call's first byte is written, again where it could not be. No: it is reported as not
  // sent.
  virtual bool maySend(const OutgoingCall& /*call*/) { return true; }
  // The endpoint sent bytes that answer no call.
  virtual void onUnsolicited(const std::string& /*uid*/) {}
  // Outcomes of one call; each of its requests is named once, over one or more such calls.
  virtual void onOutcomes(const std::string& uid, const std::vector<CallOutcome>& outcomes,
                          const LoadReport& report) = 0;
};

struct UpstreamClientOptions {
  double connectTimeoutMs = 0;
  std::vector<std::string> reportColumns;
  std::size_t callSlots = 0;  // calls on connections at once; 0: any number
};

class UpstreamClient {
 public:
  UpstreamClient(Loop& loop, Counters& counters, UpstreamClientOptions limits)
      : loop_(loop), counters_(counters), limits_(std::move(limits)) {}

  void setListener(CallListener& listener) { listener_ = &listener; }
  // One call; several items go as one bulk. Where all slots are taken it begins when one is free, in turn.
  // Never reports before it returns.
  void call(const EndpointRecord& endpoint, std::vector<CallItem> items);
  // Gives up the call that carries this request, with all its items.
  void abandon(const std::string& id);
  // The list has changed: calls that have not left yet and whose endpoint is gone, drains or has moved are
  // reported as not sent. Calls that have left are seen to their end: whoever has them may have run them.
  void onEndpointsChanged(const EndpointTable& set);
  // Reports calls whose last byte is not written, as they wait for a slot, for their connection or for their
  // endpoint to read, to endpoints for which `bound` holds, as not sent.
  void cancelUnsent(const std::function<bool(const std::string& uid)>& bound);
  std::size_t pendingCalls() const { return calls_.size(); }  // those that wait for a slot as well

 private:
  using Connection = std::unique_ptr<ClientConnection>;
  struct Call {
    std::string uid;
    Address address;
    std::vector<CallItem> items;  // those without an outcome yet
    bool bulk = false;
    Connection connection;  // none while it waits for a slot
    // Given up, with this outcome, unless an answer was on its way: its sending has ended.
    std::optional<Outcome> parting;
    Loop::Timer connectTimer = Loop::kNoTimer, capTimer = Loop::kNoTimer, leaveTimer = Loop::kNoTimer;
  };

  // How long is left until the relay gives up waiting for the item.
  double leftMs(const CallItem& item) const;
  std::string bytesOf(const Call& call) const;
  // Hands the call's bytes to its connection, in place of those that it has and has not begun to write.
  void write(std::uint64_t number);
  void begin(std::uint64_t number);
  void beginNext();
  void takeBack(const std::vector<std::uint64_t>& numbers);
  // Takes a call that is over off the table, with its timers.
  Call takeOff(std::uint64_t number);
  void awaitDescriptor(std::uint64_t number);
  void armCap(std::uint64_t number);
  void onCap(std::uint64_t number);
  void armLeave(std::uint64_t number);
  void onResult(std::uint64_t number, const ClientConnection::Result& result);
  // Ends a call that had no answer; where its last byte was not written it cannot have run. Else it parts: an
  // answer that was written before the endpoint learns of it may tell a wait, which binds, or a delivery.
  void giveUp(std::uint64_t number, Outcome outcome);
  void part(std::uint64_t number, Outcome outcome);
  void report(const Call& call, double arrivedMs, std::vector<CallOutcome> outcomes,
              const LoadReport& report);
  void reportAll(const Call& call, double arrivedMs, const CallOutcome& like, const LoadReport& report);
  // Of a call without an answer that can be read to its end.
  void reportUnanswered(const Call& call, Outcome outcome);
  void reportSpoilt(const Call& call, double arrivedMs, const HttpMessage& begun);

  Loop& loop_;
  Counters& counters_;
  UpstreamClientOptions limits_;
  CallListener* listener_ = nullptr;
  std::map<std::uint64_t, Call> calls_;
  std::set<std::uint64_t> waiting_;  // of the calls, those that wait for a slot, in their order
  std::uint64_t lastCall_ = 0;
};

}  // namespace myrtleloft
