#include "net/client_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace myrtleloft {
namespace {

// Turns in a row that may pass without a write because the poll was old by then. More of them is no stall but
// a process that is too slow for its turns, and must still get on.
constexpr int kMaxPutOffTurns = 3;
bool isRejection(int status) { return status == 429 || status == 503; }

constexpr int kReadsInTurn = 16;  // of 16 KiB: an answer without end must not keep the loop from the others

}  // namespace

ClientConnection::ClientConnection(Loop& loop, const Address& address, const AnswerLimits& limits)
    : loop_(loop),
      fd_(connectTo(address)),
      reader_(HttpReader::Side::kAnswer, limits.bytes),
      restMs_(limits.restMs) {
  if (fd_) loop_.watch(fd_.get(), POLLOUT, [this](short revents) { onEvents(revents); });
}

void ClientConnection::send(std::string bytes, Done done, Gate maySend) {
  out_ = std::move(bytes);
  written_ = 0;
  writeFailed_ = false;
  done_ = std::move(done);
  mayLeave_ = std::move(maySend);
  loop_.setEvents(fd_.get(), POLLIN | POLLOUT);
}

void ClientConnection::close() {
  if (!fd_) return;
  loop_.cancel(restTimer_);
  loop_.unwatch(fd_.get());
  fd_.reset();
  done_ = nullptr;
  mayLeave_ = nullptr;
}

void ClientConnection::onEvents(short revents) {
  if (!connected_) {
    // Some failures leave no error, only a hang-up.
    if (pendingError(fd_) != 0 || !(revents & (POLLIN | POLLOUT))) return finish(End::kNotSent);
    connected_ = true;
  }
  if (!done_) {  // no call yet: whatever comes, it answers none
    if (revents & (POLLIN | POLLHUP | POLLERR))
      close();
    else
      loop_.setEvents(fd_.get(), POLLIN);
    return;
  }
  if (revents & POLLOUT) return write();
  read();  // ahead of the call's first byte it may be a refusal of what the connection will bring
}

void ClientConnection::write() {
  // An answer that lies unread may state a wait, and a list that the endpoint drains.
  if (loop_.pollIsOld() && ++putOffTurns_ <= kMaxPutOffTurns) return;
  putOffTurns_ = 0;
  if (!begun() && mayLeave_ && !mayLeave_()) return finish(End::kWithheld);
  const Io moved = writeSome(fd_, out_, written_);
  // An endpoint may have answered what it had of the call, and gone, in the instant of this write: a wait
  // that it told must be known. What stands there before a call's first byte is no answer to it.
  writeFailed_ = moved == Io::kFailed;
  if (writeFailed_) return begun() ? read() : finish(End::kNotSent);
  if (moved == Io::kProgress) loop_.setEvents(fd_.get(), POLLIN);
}

void ClientConnection::endSending() {
  ::shutdown(fd_.get(), SHUT_WR);
  loop_.setEvents(fd_.get(), POLLIN);
}

bool ClientConnection::processUnread() {
  if (!fd_ || !done_ || !begun() || !hasInput(fd_)) return false;
  bool over = false;
  const Done done = done_;
  done_ = [&over, &done](Result result) {
    over = true;
    done(std::move(result));
  };
  read();
  if (!over) done_ = done;
  return over;
}

// The clock is read behind the age: where the process stands in between, the bytes seem to have come later.
double ClientConnection::unreadArrivedMs() const {
  const std::optional<double> ageMs = lastArrivalAgeMs(fd_);
  const double nowMs = loop_.nowMs();
  return ageMs ? std::clamp(nowMs - *ageMs, std::min(loop_.quietAtMs(fd_.get()), nowMs), nowMs) : nowMs;
}

void ClientConnection::read() {
  for (int i = 0; i < kReadsInTurn; ++i) {
    const double arrivedMs = unreadArrivedMs();
    const Io moved = readSome(fd_, reader_.buffer());
    if (moved == Io::kProgress) arrivedMs_ = arrivedMs;
    if (moved == Io::kWouldBlock && writeFailed_) return finish(End::kNotSent);
    if (moved == Io::kWouldBlock) return;
    auto state = moved == Io::kProgress ? reader_.advance() : HttpReader::State::kBad;
    if (moved == Io::kClosed) state = reader_.finish();
    if (state == HttpReader::State::kMore) {
      armRest();
      continue;
    }
    if (state == HttpReader::State::kDone) return finish(End::kAnswered, reader_.take());
    if (reader_.partial().status == 0 && !lastByteWritten()) return finish(End::kNotSent);
    const End end =
        answerBegun() ? End::kInvalidAnswer : End::kBroken;  // asked first: taken, it is forgotten
    return finish(end, reader_.take());
  }
}

// An answer that began and does not go on, as behind a length that promises more than comes, holds a slot of
// the endpoint and one of ours.
void ClientConnection::armRest() {
  if (!answerBegun())
    return loop_.cancel(restTimer_);  // an interim answer at most: the real one may take long
  if (restTimer_ != Loop::kNoTimer) return;
  restTimer_ = loop_.after(restMs_, [this] {
    restTimer_ = Loop::kNoTimer;
    finish(End::kInvalidAnswer, reader_.take(), true);
  });
}

void ClientConnection::finish(End end, HttpMessage answer, bool stalled) {
  const Done done = std::exchange(done_, nullptr);
  loop_.cancel(restTimer_);
  const bool answerCame = end == End::kAnswered || end == End::kInvalidAnswer;
  const bool unsolicited = (answerCame && !begun()) || (end == End::kAnswered && !reader_.buffer().empty());
  // The peer starts a call once its last byte has come. Ahead of that it may reject the call, and say when to
  // come back; anything else answers no call.
  if (answerCame && !lastByteWritten() && !isRejection(answer.status)) end = End::kNotSent;
  close();
  if (done) done({end, std::move(answer), stalled, arrivedMs_, unsolicited});  // may destroy this connection
}

}  // namespace myrtleloft
