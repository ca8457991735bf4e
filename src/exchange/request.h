// The interface between the HTTP server and the request manager; independent of HTTP.
//
// The server passes each request to RequestSink::onRequest and answers its client according to the Answer
// that the callback receives. Types only; used on the loop's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace myrtleloft {

struct IncomingRequest {
  std::string id;
  std::string key;  // idempotency key; empty if there is none
  std::string body;
  std::string unit;  // the tenant's unit from the operator's quota header; empty if not stated
  int classIndex = 0;
  int tenant = 0;
  std::int64_t destination = 0;
  double arrivedMs = 0;   // when its last byte arrived, on the loop's clock; it may have been read later
  double timeLeftMs = 0;  // time from `arrivedMs` until the deadline
  bool isRetry = false;   // the client states that it has sent the request before
  // The client states that another relay had the request, which died or gave no answer.
  bool heldByAnotherRelay = false;
};

struct Answer {
  enum class Kind {
    kAccepted,       // recorded: it will be delivered, or the platform will be notified
    kRejected,       // not accepted and not executed
    kQuotaExceeded,  // not accepted and not executed, because a quota is used up
    kFailed,         // not accepted, but it may have been executed
    kMalformed       // inconsistent in itself, or with another request of the same id
  };
  Kind kind = Kind::kAccepted;
  double retryAfterMs = 0;  // kRejected, kQuotaExceeded: when the client should retry; 0 for no advice
};

class RequestSink {
 public:
  using AnswerCallback = std::function<void(const Answer&)>;

  virtual ~RequestSink() = default;
  // Calls `callback` exactly once, during this call or later, unless onClientDisconnect is called before.
  virtual void onRequest(IncomingRequest request, AnswerCallback callback) = 0;
  // The client of that request has disconnected. Ignored for unknown and for answered requests.
  virtual void onClientDisconnect(const std::string& id) = 0;
};

}  // namespace myrtleloft
