#include "net/client_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace myrtleloft {
namespace {

// Maximum number of consecutive turns without a write because the poll was old. If it is exceeded, the
// process has not been stopped but is always that slow, and must make progress all the same.
constexpr int kMaxDeferredTurns = 3;
bool isRejection(int status) { return status == 429 || status == 503; }

constexpr int kMaxReadsPerTurn = 16;  // 16 KiB each, so that an endless answer does not block the loop

}  // namespace

ClientConnection::ClientConnection(Loop& loop, const Address& address, const AnswerLimits& limits)
    : loop_(loop),
      fd_(connectTo(address)),
      reader_(HttpReader::Side::kAnswer, limits.bytes),
      completionMs_(limits.completionMs) {
  if (fd_) loop_.watch(fd_.get(), POLLOUT, [this](short revents) { onEvents(revents); });
}

void ClientConnection::send(std::string bytes, Done done, SendCheck maySend) {
  out_ = std::move(bytes);
  written_ = 0;
  writeFailed_ = false;
  done_ = std::move(done);
  maySend_ = std::move(maySend);
  loop_.setEvents(fd_.get(), POLLIN | POLLOUT);
}

void ClientConnection::close() {
  if (!fd_) return;
  loop_.cancel(completionTimer_);
  loop_.unwatch(fd_.get());
  fd_.reset();
  done_ = nullptr;
  maySend_ = nullptr;
}

void ClientConnection::onEvents(short revents) {
  if (!connected_) {
    // Some failures set no error on the socket and only report POLLHUP.
    if (pendingError(fd_) != 0 || !(revents & (POLLIN | POLLOUT))) return finish(End::kNotSent);
    connected_ = true;
  }
  if (!done_) {  // no call yet, so incoming bytes cannot be an answer
    if (revents & (POLLIN | POLLHUP | POLLERR))
      close();
    else
      loop_.setEvents(fd_.get(), POLLIN);
    return;
  }
  if (revents & POLLOUT) return write();
  read();  // before the call's first byte is written, these may be a rejection of the call
}

void ClientConnection::write() {
  // An unread answer may state a Retry-After, and an unread endpoint list that this endpoint drains.
  if (loop_.pollIsOld() && ++deferredTurns_ <= kMaxDeferredTurns) return;
  deferredTurns_ = 0;
  if (!begun() && maySend_ && !maySend_()) return finish(End::kWithheld);
  const Io moved = writeSome(fd_, out_, written_);
  // The endpoint may have answered the part of the call that it received, and closed the connection, just
  // before this write: a Retry-After in that answer must be read. Before the call's first byte there can be
  // no answer to it.
  writeFailed_ = moved == Io::kFailed;
  if (writeFailed_) return begun() ? read() : finish(End::kNotSent);
  if (moved == Io::kProgress) loop_.setEvents(fd_.get(), POLLIN);
}

void ClientConnection::halfClose() {
  ::shutdown(fd_.get(), SHUT_WR);
  loop_.setEvents(fd_.get(), POLLIN);
}

bool ClientConnection::processUnread() {
  if (!fd_ || !done_ || !begun() || !hasInput(fd_)) return false;
  bool finished = false;
  const Done done = done_;
  done_ = [&finished, &done](Result result) {
    finished = true;
    done(std::move(result));
  };
  read();
  if (!finished) done_ = done;
  return finished;
}

// The clock is read after the age. If the process is stopped in between, the result is later than the true
// time, so that it stays an upper bound.
double ClientConnection::unreadArrivedMs() const {
  const std::optional<double> ageMs = lastArrivalAgeMs(fd_);
  const double nowMs = loop_.nowMs();
  return ageMs ? std::clamp(nowMs - *ageMs, std::min(loop_.quietAtMs(fd_.get()), nowMs), nowMs) : nowMs;
}

void ClientConnection::read() {
  for (int i = 0; i < kMaxReadsPerTurn; ++i) {
    const double arrivedMs = unreadArrivedMs();
    const Io moved = readSome(fd_, reader_.buffer());
    if (moved == Io::kProgress) arrivedMs_ = arrivedMs;
    if (moved == Io::kWouldBlock && writeFailed_) return finish(End::kNotSent);
    if (moved == Io::kWouldBlock) return;
    auto state = moved == Io::kProgress ? reader_.advance() : HttpReader::State::kBad;
    if (moved == Io::kClosed) state = reader_.finish();
    if (state == HttpReader::State::kMore) {
      armCompletionTimer();
      continue;
    }
    if (state == HttpReader::State::kDone) return finish(End::kAnswered, reader_.take());
    if (reader_.partial().status == 0 && !lastByteWritten()) return finish(End::kNotSent);
    const End end =
        answerBegun() ? End::kInvalidAnswer : End::kBroken;  // before take(), which resets the reader
    return finish(end, reader_.take());
  }
}

// Limits how long an incomplete answer may take, for example one whose Content-Length is larger than its
// body: it occupies a call slot of the endpoint and one of the relay.
void ClientConnection::armCompletionTimer() {
  if (!answerBegun())
    return loop_.cancel(completionTimer_);  // at most an interim answer; the final one may take longer
  if (completionTimer_ != Loop::kNoTimer) return;
  completionTimer_ = loop_.after(completionMs_, [this] {
    completionTimer_ = Loop::kNoTimer;
    finish(End::kInvalidAnswer, reader_.take(), true);
  });
}

void ClientConnection::finish(End end, HttpMessage answer, bool stalled) {
  const Done done = std::exchange(done_, nullptr);
  loop_.cancel(completionTimer_);
  const bool answerReceived = end == End::kAnswered || end == End::kInvalidAnswer;
  const bool unsolicited =
      (answerReceived && !begun()) || (end == End::kAnswered && !reader_.buffer().empty());
  // The peer executes a call only after its last byte has arrived. Before that it can only reject the call,
  // possibly with a Retry-After; anything else is not an answer to this call.
  if (answerReceived && !lastByteWritten() && !isRejection(answer.status)) end = End::kNotSent;
  close();
  if (done) done({end, std::move(answer), stalled, arrivedMs_, unsolicited});  // may destroy this connection
}

}  // namespace myrtleloft
