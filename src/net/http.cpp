#include "net/http.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace myrtleloft {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

bool sameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

bool isTokenChar(char c) {
  return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}
bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isVisible(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c != 0x7f; });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::optional<std::uint64_t> number(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Whether a comma-separated list such as Connection's holds the word.
bool lists(std::string_view list, std::string_view word) {
  for (std::size_t at = 0; at <= list.size();) {
    const std::size_t end = std::min(list.find(',', at), list.size());
    if (sameName(trimmed(list.substr(at, end - at)), word)) return true;
    at = end + 1;
  }
  return false;
}

}  // namespace

const std::string* HttpMessage::header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (sameName(key, name)) return &value;
  return nullptr;
}

HttpReader::State HttpReader::fail(int status) {
  errorStatus_ = status;
  step_ = Step::kBad;
  return State::kBad;
}

HttpReader::State HttpReader::advance() {
  const State state = read();
  buffer_.erase(0, used_);
  scanned_ -= std::min(scanned_, used_);
  used_ = 0;
  return state;
}

HttpReader::State HttpReader::read() {
  if (step_ == Step::kBad) return State::kBad;
  if (step_ == Step::kHead && !readHead()) return step_ == Step::kBad ? State::kBad : State::kMore;
  return readBody();
}

HttpReader::State HttpReader::finish() {
  if (step_ != Step::kUntilClose) return step_ == Step::kDone ? State::kDone : State::kBad;
  step_ = Step::kDone;
  return State::kDone;
}

HttpMessage HttpReader::take() {
  HttpMessage message = std::move(message_);
  message_ = HttpMessage();
  step_ = Step::kHead;
  firstLineRead_ = expectsContinue_ = false;
  headBytes_ = scanned_ = 0;
  if (buffer_.empty())
    buffer_ = std::string();  // with its memory: a connection must not keep its largest size
  return message;
}

// One line ended by CR LF. A bare LF is refused: peers that disagree on where a line ends can be made to
// disagree on where a message ends.
bool HttpReader::takeLine(std::string& line) {
  const std::size_t end = buffer_.find('\n', std::max(scanned_, used_));
  const std::size_t size = (end == std::string::npos ? buffer_.size() : end + 1) - used_;
  const bool first = step_ == Step::kHead && !firstLineRead_;
  if (headBytes_ + size > kHeadLimit) return fail(first ? 414 : 431), false;
  if (end == std::string::npos) {
    scanned_ = buffer_.size();
    return false;
  }
  if (end == used_ || buffer_[end - 1] != '\r') return fail(400), false;
  line.assign(buffer_, used_, end - 1 - used_);
  used_ += size;
  headBytes_ += size;
  return true;
}

bool HttpReader::readHead() {
  std::string line;
  while (takeLine(line)) {
    if (!firstLineRead_) {
      if (line.empty() && side_ == Side::kRequest && headBytes_ <= 4) continue;  // RFC 9112, 2.2
      if (!firstLine(line)) return fail(400), false;
      firstLineRead_ = true;
    } else if (!line.empty()) {
      if (!headerLine(line)) return fail(400), false;
    } else if (side_ == Side::kAnswer && message_.status < 200) {
      message_ = HttpMessage();  // an interim answer: the real one follows
      firstLineRead_ = false;
    } else {
      return framing();
    }
  }
  return false;
}

bool HttpReader::firstLine(std::string_view line) {
  const auto versionFits = [this](std::string_view version) {
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
    message_.keepAlive = version == "HTTP/1.1";
    return true;
  };
  const std::size_t first = line.find(' ');
  if (first == std::string_view::npos) return false;
  if (side_ == Side::kAnswer) {
    const auto status = number(line.substr(first + 1, 3), 10);
    const bool ends = line.size() == first + 4 || (line.size() > first + 4 && line[first + 4] == ' ');
    if (!versionFits(line.substr(0, first)) || !status || *status < 100 || !ends) return false;
    message_.status = static_cast<int>(*status);
    return true;
  }
  const std::size_t second = line.find(' ', first + 1);
  if (second == std::string_view::npos || !versionFits(line.substr(second + 1))) return false;
  message_.method = line.substr(0, first);
  message_.target = line.substr(first + 1, second - first - 1);
  return isToken(message_.method) && !message_.target.empty() && isVisible(message_.target);
}

bool HttpReader::headerLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) return false;
  const std::string_view value = trimmed(line.substr(colon + 1));
  const bool control = std::any_of(value.begin(), value.end(), [](char c) {
    return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
  });
  if (control) return false;
  message_.headers.emplace_back(line.substr(0, colon), value);
  return true;
}

// How long the body is. A message that could be read in two ways is refused, never guessed at.
bool HttpReader::framing() {
  std::optional<std::uint64_t> length;
  bool chunked = false;
  for (const auto& [name, value] : message_.headers) {
    if (sameName(name, "Content-Length")) {
      const auto told = number(value, 10);
      if (!told || (length && *length != *told)) return fail(400), false;
      length = told;
    } else if (sameName(name, "Transfer-Encoding")) {
      if (chunked || !sameName(value, "chunked")) return fail(400), false;
      chunked = true;
    } else if (sameName(name, "Connection")) {
      if (lists(value, "close"))
        message_.keepAlive = false;
      else if (lists(value, "keep-alive"))
        message_.keepAlive = true;
    } else if (sameName(name, "Expect") && sameName(value, "100-continue")) {
      expectsContinue_ = true;
    }
  }
  if (chunked && length) return fail(400), false;
  if (length && *length > bodyLimit_) return fail(413), false;
  const bool bodyless = side_ == Side::kAnswer && (message_.status == 204 || message_.status == 304);
  left_ = bodyless ? 0 : length.value_or(0);
  step_ = chunked && !bodyless                             ? Step::kChunkSize
          : side_ == Side::kAnswer && !length && !bodyless ? Step::kUntilClose
                                                           : Step::kLength;
  if (step_ == Step::kUntilClose) message_.keepAlive = false;
  return true;
}

HttpReader::State HttpReader::readBody() {
  std::string line;
  for (;;) {
    switch (step_) {
      case Step::kLength:
      case Step::kChunk: {
        const std::size_t part =
            static_cast<std::size_t>(std::min<std::uint64_t>(left_, buffer_.size() - used_));
        message_.body.append(buffer_, used_, part);
        used_ += part;
        left_ -= part;
        if (left_ > 0) return State::kMore;
        step_ = step_ == Step::kLength ? Step::kDone : Step::kChunkEnd;
        break;
      }
      case Step::kChunkSize: {
        if (!takeLine(line)) return step_ == Step::kBad ? State::kBad : State::kMore;
        const auto size = number(trimmed(std::string_view(line).substr(0, line.find(';'))), 16);
        if (!size) return fail(400);
        if (*size > bodyLimit_ - message_.body.size()) return fail(413);
        left_ = *size;
        step_ = *size == 0 ? Step::kTrailer : Step::kChunk;
        break;
      }
      case Step::kChunkEnd:
        if (!takeLine(line)) return step_ == Step::kBad ? State::kBad : State::kMore;
        if (!line.empty()) return fail(400);
        headBytes_ = 0;  // the limit is on one line of framing, not on the number of chunks
        step_ = Step::kChunkSize;
        break;
      case Step::kTrailer:
        if (!takeLine(line)) return step_ == Step::kBad ? State::kBad : State::kMore;
        if (line.empty()) step_ = Step::kDone;
        break;
      case Step::kUntilClose:
        if (message_.body.size() + buffer_.size() - used_ > bodyLimit_) return fail(413);
        message_.body.append(buffer_, used_);
        used_ = buffer_.size();
        return State::kMore;
      case Step::kDone:
        return State::kDone;
      case Step::kHead:
      case Step::kBad:
        return State::kBad;
    }
  }
}

}  // namespace myrtleloft
