// What an Inbound does with one connection: reads requests, offers them, writes answers.
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "inbound/inbound.h"

namespace myrtleloft {
namespace {

constexpr std::size_t kLingerBytes = 256 * 1024;  // read of a connection after its last answer
constexpr const char* kFullComeBackS = "1.000";   // with no memory for a request

}  // namespace

void Inbound::onEvents(Number number, short revents) {
  const auto at = connections_.find(number);
  if (at == connections_.end()) return;
  if (revents & POLLOUT) flush(number);
  if (connections_.count(number) && (revents & (POLLIN | POLLHUP | POLLERR))) readAndServe(number);
  if (connections_.count(number)) weigh(number);
}

void Inbound::weigh(Number number) {
  Connection& c = connections_.at(number);
  // While a request waits for its answer, whoever has it holds what was read of it.
  const std::size_t now = c.waiting.empty() ? c.reader.held() : std::max(c.held, c.reader.held());
  held_ += now - c.held;
  c.held = now;
  if (held_ <= mostBytes_ || c.stage() != Stage::kBegun) return;
  ++counters_.failFastFull;
  refuse(number, 503, {{"Retry-After", kFullComeBackS}});
}

void Inbound::readAndServe(Number number) {
  Connection& c = connections_.at(number);
  // A request's time runs from its first bytes: a client that trickles must not hold a connection for ever.
  if (c.stage() == Stage::kIdle) c.sinceMs = loop_.nowMs();
  const Io io = readSome(c.fd, c.reader.buffer());
  if (io == Io::kWouldBlock) return;
  if (io == Io::kProgress) {
    if (c.lingering) {
      c.dropped += c.reader.buffer().size();
      c.reader.buffer().clear();
      if (c.dropped > kLingerBytes) drop(number);
    } else if (!c.waiting.empty()) {
      ++counters_.hangUps;
      sink_.onHangUp(c.waiting);
      c.waiting.clear();
      refuse(number, 400);  // see onMessage
    } else {
      serve(number);
    }
    return;
  }
  if (!c.waiting.empty() &&
      io == Io::kClosed) {  // only its sending may have ended: the answer still goes out
    c.keepAlive = false;
    loop_.setEvents(c.fd.get(), 0);
    return;
  }
  if (!c.waiting.empty()) {
    ++counters_.hangUps;
    sink_.onHangUp(c.waiting);
  }
  if (io == Io::kClosed && !c.out.empty()) return loop_.setEvents(c.fd.get(), POLLOUT);
  drop(number);
}

// Answers one request after the other; while one waits for its answer, the next stays unread.
void Inbound::serve(Number number) {
  for (;;) {
    const auto at = connections_.find(number);
    if (at == connections_.end()) return;
    Connection& c = at->second;
    if (c.stage() == Stage::kAnswering && c.reader.buffer().size() > kBodyLimit)
      return loop_.setEvents(c.fd.get(), POLLOUT);
    if (!c.waiting.empty() || !c.out.empty() || c.lingering) return;
    const auto state = c.reader.advance();
    if (state == HttpReader::State::kMore) {
      if (!c.reader.expectsContinue()) return;
      c.reader.continued();
      c.out = "HTTP/1.1 100 Continue\r\n\r\n";
      return flush(number);
    }
    if (state == HttpReader::State::kBad) return refuse(number, c.reader.errorStatus());
    onMessage(number, c.reader.take());
  }
}

void Inbound::onMessage(Number number, HttpMessage message) {
  Connection& c = connections_.at(number);
  c.keepAlive = message.keepAlive && !retiring_;
  const std::string_view part = firstPart(message.target);
  if (path(message.target) == "/up") {
    if (message.method != "GET") return reply(number, 405, {{"Allow", "GET"}});
    return reply(number, ready_ ? 200 : 503);
  }
  const bool known = positionOf(names_.classes, part).has_value();
  if (message.method != "POST") return known ? reply(number, 405, {{"Allow", "POST"}}) : reply(number, 404);
  if (part.empty()) return reply(number, 404);
  auto request = readRequest(message, names_);
  if (!request) {
    ++counters_.malformed;
    return reply(number, 400);
  }
  // Clients send one request at a time. Bytes behind one say that its length was wrong, so that its body is
  // not what was meant, or that nobody waits for the answers: it is not taken on. What comes a little later,
  // but before the answer, says the same.
  if (!c.reader.buffer().empty()) return refuse(number, 400);
  ++counters_.requests;
  c.waiting = request->id;
  sink_.onRequest(std::move(*request), [this, number](const Answer& answer) {
    const auto at = connections_.find(number);
    if (at == connections_.end()) return;
    at->second.waiting.clear();
    switch (answer.kind) {
      case Answer::Kind::kTaken:
        return reply(number, 202);
      case Answer::Kind::kFailed:
        return reply(number, 500);
      case Answer::Kind::kUnusable:
        ++counters_.malformed;
        return reply(number, 400);
      case Answer::Kind::kFailFast:
      case Answer::Kind::kOverQuota:
        break;
    }
    const int status = answer.kind == Answer::Kind::kOverQuota ? 429 : 503;
    if (answer.retryAfterMs <= 0) return reply(number, status);
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", answer.retryAfterMs / 1000);
    reply(number, status, {{"Retry-After", seconds}});
  });
}

// What cannot be used, and nothing more of its connection: where the next message would begin is not to be
// trusted.
void Inbound::refuse(Number number, int status, const Headers& headers) {
  if (status < 500) ++counters_.malformed;
  connections_.at(number).keepAlive = false;
  reply(number, status, headers);
}

void Inbound::reply(Number number, int status, const Headers& headers, std::string_view body) {
  Connection& c = connections_.at(number);
  if (retiring_) c.keepAlive = false;
  c.out = writeAnswer(status, headers, body, c.keepAlive);
  flush(number);
}

void Inbound::flush(Number number) {
  Connection& c = connections_.at(number);
  const Io io = writeSome(c.fd, c.out, c.written);
  if (io == Io::kFailed) return drop(number);
  if (io == Io::kWouldBlock) return loop_.setEvents(c.fd.get(), POLLOUT);
  c.out = std::string();  // with its memory, as the reader does: an idle connection holds none
  c.written = 0;
  held_ -= std::exchange(c.held, 0);  // weighed anew with what comes next
  c.answered = true;
  c.sinceMs = loop_.nowMs();
  loop_.setEvents(c.fd.get(), POLLIN);
  if (!c.keepAlive) {
    // Closing while the client still sends would reset the connection, and the answer with it: the sending
    // side ends, and what still comes is read and dropped for a moment.
    c.lingering = true;
    c.reader = HttpReader(HttpReader::Side::kRequest);
    ::shutdown(c.fd.get(), SHUT_WR);
    return;
  }
  if (!c.reader.buffer().empty()) {  // sent ahead: served from the loop, so that answers do not nest
    loop_.after(0, [this, number] { serve(number); });
  }
}

}  // namespace myrtleloft
