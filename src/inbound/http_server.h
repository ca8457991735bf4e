// The client side: accepts connections, reads requests, writes answers. Knows nothing of endpoints.
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
  // `mostBytes`: what all requests together may hold that are not read to their end, or not yet answered. One
  // that would pass it is refused with when to come back. `trace`, if any, outlives it.
  HttpServer(Loop& loop, RequestSink& sink, Counters& counters, RequestNames names,
             std::size_t mostConnections, std::size_t mostBytes, const RequestTrace* trace = nullptr);
  ~HttpServer();

  // false: `error` says why, and `number`, where it is given, is the errno.
  bool open(const Address& address, std::string& error, int* number = nullptr);
  std::string listening() const { return localAddress(listener_); }
  void setReady(bool ready) { ready_ = ready; }  // what GET /up says
  // From now on connections are closed between requests: those that rest at once, each other one after the
  // last request that was read from it. One that was opened and has not asked yet is waited for.
  void drain();
  std::size_t connections() const { return connections_.size(); }

 private:
  // What a connection is at, in the order in which they give way where there is no more room.
  enum class Stage {
    kLingering,  // its last answer is written, and what still comes is not read as requests
    kIdle,       // between requests
    kSilent,     // nothing came yet
    kBegun,      // a request is half in
    kAnswering,  // an answer is half out
    kAsked,      // a request is open
  };
  struct Connection {
    Fd fd;
    HttpReader reader{HttpReader::Side::kRequest};
    std::string out;
    std::size_t written = 0;
    std::size_t dropped = 0;  // bytes, while lingering
    double sinceMs = 0;       // when its present patience began: that of a new one when it was established
    std::string waiting;      // id of the request that is not answered yet
    std::size_t held = 0;     // bytes of its request
    ArrivalTimes arrivals;
    double requestMs = 0;  // when the last byte of its latest whole request came
    // A whole request, while what has come behind it may be one more or the rest of a body.
    std::optional<HttpMessage> unsure;
    bool keepAlive = true, answered = false, lingering = false;
    CloseReason why = CloseReason::kAnswered;  // it lingers
    bool halfClosed = false;                   // its client has ended its sending
    Stage stage() const;
    // No request is on it, not even one that has come and was not read yet.
    bool rests() const { return (stage() == Stage::kIdle || stage() == Stage::kSilent) && !hasInput(fd); }
  };
  using Number = std::uint64_t;
  static constexpr std::size_t kLingerBytes = 256 * 1024;  // read of a connection after its last answer

  void onAccept();
  void makeRoom();
  void onEvents(Number number, short revents);
  void readAndServe(Number number);
  ArrivalTimes::Look look(const Fd& fd) const;
  void serve(Number number);
  void onMessage(Number number, HttpMessage message);
  void offer(Number number, IncomingRequest request);
  void onAnswer(Number number, const Answer& answer);
  void onInputWhileAsked(Number number);
  // Its client has ended its sending, or all of it.
  void onHalfClose(Number number);
  void onReset(Number number);
  void refuse(Number number, int status, const Headers& headers = {});
  void reply(Number number, int status, const Headers& headers = {}, std::string_view body = {});
  void flush(Number number);
  // Ends the sending side. Nothing is read as a request after that.
  void endSending(Number number, CloseReason why);
  void drop(Number number, CloseReason reason);
  // Counts what the connection's request holds; refuses it where that is too much for all.
  void weigh(Number number);
  void sweep();

  Loop& loop_;
  RequestSink& sink_;
  Counters& counters_;
  RequestNames names_;
  std::size_t mostConnections_, mostBytes_, held_ = 0;
  const RequestTrace* trace_;
  Fd listener_;
  bool ready_ = false, draining_ = false;
  std::map<Number, Connection> connections_;
  Number lastNumber_ = 0;
  Loop::Timer sweepTimer_ = Loop::kNoTimer;
  Loop::Timer acceptTimer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
