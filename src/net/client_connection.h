// An outgoing HTTP/1.1 connection that carries a single call and is closed when the call ends.
//
//   ClientConnection connection(loop, address);
//   connection.send(request, [&](ClientConnection::Result result) { ... });
//
// Connections are not reused. An HTTP/1.1 answer is matched to its call only by its position on the
// connection. If a peer answers a call twice, all later answers are shifted by one, and a delayed duplicate
// cannot be distinguished from a fast answer to the next call.
//
// Used from the loop's thread only; functions neither block nor throw. Cost: one connection for each call.
#pragma once

#include <functional>
#include <string>

#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace myrtleloft {

class ClientConnection {
 public:
  enum class End {
    // A complete answer. One that arrives before the call's last byte is written must be a rejection (429 or
    // 503).
    kAnswered,
    kInvalidAnswer,  // a malformed or stalled answer: `answer` holds the part that could be parsed
    kWithheld,       // the send check returned false when the first byte was about to be written
    // The connection failed before the call's last byte was written, or anything but a rejection arrived
    // before then: the peer cannot have executed the call.
    kNotSent,
    kBroken,  // the connection failed after the last byte was written
  };
  struct AnswerLimits {
    std::size_t bytes = kBodyLimit;
    double completionMs = 500;  // time allowed from the first byte to the last
  };
  struct Result {
    End end = End::kBroken;
    HttpMessage answer;
    bool stalled = false;  // of an invalid answer: its bytes stopped arriving before it was complete
    // The latest time at which the last bytes that were read may have arrived, on the loop's clock.
    double arrivedMs = 0;
    // Bytes arrived that do not answer the call: after the answer, or before the call's first byte was
    // written.
    bool unsolicited = false;
  };
  using Done = std::function<void(Result)>;

  ClientConnection(Loop& loop, const Address& address) : ClientConnection(loop, address, AnswerLimits()) {}
  ClientConnection(Loop& loop, const Address& address, const AnswerLimits& limits);
  ~ClientConnection() { close(); }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Returns false after close() and if no descriptor was available.
  bool open() const { return static_cast<bool>(fd_); }
  using SendCheck = std::function<bool()>;
  // Starts the call, or replaces it as long as no byte of it is written. `done` is called once, unless
  // close() is called first, and may destroy this connection. `maySend`, if set, is called just before the
  // first byte is written, and again if that byte could not be written.
  void send(std::string bytes, Done done, SendCheck maySend = nullptr);
  bool connected() const { return connected_; }
  bool begun() const { return written_ > 0; }  // the call's first byte is written
  bool lastByteWritten() const { return connected_ && written_ == out_.size(); }
  bool answerBegun() const { return reader_.midMessage(); }
  // Returns what has been parsed of an incomplete answer. The status is 0 until the first line is complete.
  const HttpMessage& partialAnswer() const { return reader_.partial(); }
  // Returns the latest time at which the last bytes that were read may have arrived.
  double answerArrivedMs() const { return arrivedMs_; }
  void close();
  // Shuts down the sending side to abandon the call. An answer that the peer wrote before it noticed still
  // arrives.
  void halfClose();
  // Reads and parses the bytes that have arrived, without writing. Returns true if that ended the call:
  // `done` has then been called and may have destroyed this connection.
  bool processUnread();

 private:
  void onEvents(short revents);
  void write();
  void read();
  // Returns the latest time at which the unread bytes may have arrived.
  double unreadArrivedMs() const;
  void armCompletionTimer();
  void finish(End end, HttpMessage answer = {}, bool stalled = false);

  Loop& loop_;
  Fd fd_;
  HttpReader reader_;
  double completionMs_;
  Loop::Timer completionTimer_ = Loop::kNoTimer;
  std::string out_;
  std::size_t written_ = 0;
  double arrivedMs_ = 0;   // see answerArrivedMs
  int deferredTurns_ = 0;  // consecutive turns without a write because the loop's poll was old
  bool connected_ = false, writeFailed_ = false;
  Done done_;
  SendCheck maySend_;
};

}  // namespace myrtleloft
