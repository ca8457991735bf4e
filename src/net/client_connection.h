// One connection that the relay opened, for one call: it is closed when the call is over.
//
//   ClientConnection connection(loop, address);
//   connection.send(request, [&](ClientConnection::Result result) { ... });
//
// An HTTP/1.1 answer names no call: it belongs to one by its place on the connection alone. Behind a first
// call that place is not proven, since a peer that answers twice shifts all answers behind it, and a copy
// that is on its way cannot be told from a quick answer. So no connection carries a second call.
//
// One thread, that of the loop; nothing waits or throws. Cost: one connection for each call.
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
    kAnswered,       // a whole answer; ahead of the call's last byte only one that rejects it, 429 or 503
    kInvalidAnswer,  // one that cannot be read, or did not go on: `answer` holds what could be made out
    kWithheld,       // it might not leave, when its first byte was to be written
    // It never came up, or broke before the last byte was written, or something else than a rejection came
    // ahead of that byte: the peer cannot have acted.
    kNotSent,
    kBroken,  // it broke after that
  };
  struct AnswerLimits {
    std::size_t bytes = kBodyLimit;
    double restMs = 500;  // from its first byte to its last
  };
  struct Result {
    End end = End::kBroken;
    HttpMessage answer;
    bool stalled = false;  // of a spoilt one: it had begun, and did not go on
    double arrivedMs = 0;  // when the last bytes that were read came, at the latest; on the loop's clock
    // Bytes came that answer no call: behind the answer, or ahead of the call's first byte.
    bool unsolicited = false;
  };
  using Done = std::function<void(Result)>;

  ClientConnection(Loop& loop, const Address& address) : ClientConnection(loop, address, AnswerLimits()) {}
  ClientConnection(Loop& loop, const Address& address, const AnswerLimits& limits);
  ~ClientConnection() { close(); }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  bool open() const { return static_cast<bool>(fd_); }  // false also where no descriptor could be had
  using Gate = std::function<bool()>;
  // Starts the call, or replaces it while no byte of it is written; `done` comes once, unless close() comes
  // first, and may destroy this connection. `maySend`, if any, is asked just before the first byte is
  // written, again where it could not be.
  void send(std::string bytes, Done done, Gate maySend = nullptr);
  bool connected() const { return connected_; }
  bool begun() const { return written_ > 0; }  // the call's first byte is written
  bool lastByteWritten() const { return connected_ && written_ == out_.size(); }
  bool answerBegun() const { return reader_.midMessage(); }
  // Of an answer that has only begun; its status is 0 until its first line is in.
  const HttpMessage& answerSoFar() const { return reader_.partial(); }
  // When its last bytes that were read came, at the latest.
  double answerArrivedMs() const { return arrivedMs_; }
  void close();
  // Ends its sending, which gives the call up; what the peer had written before it learns so still comes.
  void endSending();
  // Takes in what has come and was not read yet, without writing on. Whether the call is over with that:
  // `done` has been called then, and may have destroyed this connection.
  bool processUnread();

 private:
  void onEvents(short revents);
  void write();
  void read();
  // When the bytes came that lie unread, at the latest.
  double unreadArrivedMs() const;
  void armRest();
  void finish(End end, HttpMessage answer = {}, bool stalled = false);

  Loop& loop_;
  Fd fd_;
  HttpReader reader_;
  double restMs_;
  Loop::Timer restTimer_ = Loop::kNoTimer;
  std::string out_;
  std::size_t written_ = 0;
  double arrivedMs_ = 0;  // when the last bytes that were read came, at the latest
  int putOffTurns_ = 0;   // in a row, in which nothing was written because the loop's poll was old
  bool connected_ = false, writeFailed_ = false;
  Done done_;
  Gate mayLeave_;
};

}  // namespace myrtleloft
