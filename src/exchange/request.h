// What the client side and the request manager say to each other. Nothing here knows of HTTP.
//
// The client side hands a request over by RequestSink::onRequest and answers its client by what comes back
// through the callback. Types only; one thread, that of the loop.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace myrtleloft {

struct IncomingRequest {
  std::string id;
  std::string key;  // idempotency key; empty: none
  std::string body;
  std::string unit;  // the tenant's unit, by the operator's header; empty: not stated
  int classIndex = 0;
  int tenant = 0;
  std::int64_t destination = 0;
  double arrivedMs = 0;   // when its last byte came, on the loop's clock; it may have lain unread since
  double timeLeftMs = 0;  // from then until its deadline
  bool isRetry = false;   // the client says that it has sent it before
};

struct Answer {
  enum class Kind {
    kAccepted,       // recorded: it will be delivered, or the platform is notified
    kRejected,       // not accepted, nothing happened
    kQuotaExceeded,  // likewise, for a quota
    kFailed,         // not accepted, but it may have been executed
    kMalformed       // it contradicts itself or another request of its id
  };
  Kind kind = Kind::kAccepted;
  double retryAfterMs = 0;  // of kRejected and kQuotaExceeded: when to come back; 0: no advice
};

class RequestSink {
 public:
  using AnswerCallback = std::function<void(const Answer&)>;

  virtual ~RequestSink() = default;
  // `answer` is called once, at once or later, unless onClientDisconnect comes first.
  virtual void onRequest(IncomingRequest request, AnswerCallback answer) = 0;
  // The client of that request has gone. Unknown and answered ids are ignored.
  virtual void onClientDisconnect(const std::string& id) = 0;
};

}  // namespace myrtleloft
