// The HTTP server for clients: accepts connections, reads requests, hands them to a RequestSink and writes
// the answers. It handles one request per connection at a time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "counters/counters.h"
#include "exchange/request.h"
#include "inbound/arrival_times.h"
#include "inbound/close_reason.h"
#include "inbound/read_request.h"
#include "log/request_trace.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace myrtleloft {

class HttpServer {
 public:
  // `maxBytes` limits the memory of all requests that are incomplete or unanswered. A request that would
  // exceed it is answered with 503 and a Retry-After. `trace` may be nullptr and must otherwise outlive the
  // server.
  HttpServer(Loop& loop, RequestSink& sink, Counters& counters, RequestNames names,
             std::size_t maxConnections, std::size_t maxBytes, const RequestTrace* trace = nullptr);
  ~HttpServer();

  // Starts to listen. On failure, returns false and sets `error` to a message and `*errorNumber`, if given,
  // to the errno.
  bool open(const Address& address, std::string& error, int* errorNumber = nullptr);
  std::string listening() const { return localAddress(listener_); }
  void setReady(bool ready) { ready_ = ready; }  // the answer to GET /up: 200 or 503
  // Begins a graceful shutdown: idle connections are closed now, all others after the answer to the last
  // request that was read. A connection without a request so far is kept open for its first one.
  void drain();
  std::size_t connections() const { return connections_.size(); }

 private:
  // The states of a connection, in the order in which connections are evicted when the limit is reached.
  enum class Stage {
    kLingering,       // the last answer is written; further input is discarded
    kIdle,            // between requests
    kNew,             // nothing received yet
    kReadingRequest,  // a request is incomplete
    kWritingAnswer,   // an answer is partially written; never evicted
    kAwaitingAnswer,  // a request is unanswered; never evicted
  };
  struct Connection {
    Fd fd;
    HttpReader reader{HttpReader::Side::kRequest};
    std::string out;
    std::size_t written = 0;
    std::size_t droppedBytes = 0;  // while lingering
    double sinceMs = 0;     // when the current timeout began; for a new connection, when it was established
    std::string requestId;  // id of the unanswered request, if any
    std::size_t heldBytes = 0;  // memory of its request
    ArrivalTimes arrivals;
    double requestMs = 0;  // when the last byte of the latest complete request arrived
    // A complete request, while it is unknown whether the bytes after it begin another request.
    std::optional<HttpMessage> undecided;
    bool keepAlive = true, answered = false, lingering = false;
    CloseReason closeReason = CloseReason::kAnswered;  // while lingering
    bool halfClosed = false;                           // the client has shut down its sending side
    Stage stage() const;
    // Returns true if there is no request on the connection, not even an unread one.
    // Returns true if a request is partially read, or a new connection has unread bytes.
    bool mayHaveSentRequest() const {
      return stage() == Stage::kReadingRequest || (stage() == Stage::kNew && hasUnreadBytes(fd));
    }
    bool isQuiescent() const { return (stage() == Stage::kIdle || stage() == Stage::kNew) && !hasInput(fd); }
  };
  using ConnectionId = std::uint64_t;
  static constexpr std::size_t kLingerBytes =
      256 * 1024;  // maximum input that is discarded after the last answer

  void onAccept();
  void evictOne();
  std::optional<ConnectionId> findEvictable() const;
  static double minimumAgeMs(Stage stage);  // before a connection is evicted
  void onEvents(ConnectionId id, short revents);
  void readAndServe(ConnectionId id);
  ArrivalTimes::Observation observe(const Fd& fd) const;
  void serve(ConnectionId id);
  void onMessage(ConnectionId id, HttpMessage message);
  void forward(ConnectionId id, IncomingRequest request);
  void onAnswer(ConnectionId id, const Answer& answer);
  void onInputWhileAwaiting(ConnectionId id);
  // The client has shut down its sending side or closed the connection.
  void onHalfClose(ConnectionId id);
  void onReset(ConnectionId id);
  void rejectAndClose(ConnectionId id, int status, const Headers& headers = {});
  // Rejects a request that there is no room for, and tells the client when to retry.
  void rejectOverloaded(ConnectionId id);
  // The same answer as text, for when the process ends.
  static std::string overloadRejection();
  void reply(ConnectionId id, int status, const Headers& headers = {}, std::string_view body = {});
  void flush(ConnectionId id);
  // Shuts down the sending side. Later input is discarded.
  void halfClose(ConnectionId id, CloseReason closeReason);
  void close(ConnectionId id, CloseReason reason);
  // Updates the memory count of the connection's request, and rejects the request if the total exceeds the
  // limit.
  void accountMemory(ConnectionId id);
  void closeExpired();
  void scheduleExpiry();

  Loop& loop_;
  RequestSink& sink_;
  Counters& counters_;
  RequestNames names_;
  std::size_t maxConnections_, maxBytes_, heldBytes_ = 0;
  const RequestTrace* trace_;
  const std::string finalRejection_;  // made in advance, because memory may have run out at the end
  Fd listener_;
  bool ready_ = false, draining_ = false;
  std::map<ConnectionId, Connection> connections_;
  ConnectionId lastId_ = 0;
  Loop::Timer expiryTimer_ = Loop::kNoTimer;
  Loop::Timer acceptTimer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
