#include "net/http.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "net/http_text.h"

namespace myrtleloft {

const std::string* HttpMessage::header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (equalsIgnoreCase(key, name)) return &value;
  return nullptr;
}

HttpReader::State HttpReader::fail(int status) {
  errorStatus_ = status;
  step_ = Step::kBad;
  return State::kBad;
}

HttpReader::State HttpReader::advance() {
  const State state = read();
  buffer_.erase(0, consumed_);
  scanned_ -= std::min(scanned_, consumed_);
  consumed_ = 0;
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
    buffer_ = std::string();  // frees the memory, so that an idle connection does not keep its largest buffer
  return message;
}

// Takes one line that ends with CR LF. A bare LF is rejected: peers that disagree on where a line ends could
// be made to disagree on where a message ends (request smuggling).
bool HttpReader::takeLine(std::string& line) {
  const std::size_t end = buffer_.find('\n', std::max(scanned_, consumed_));
  const std::size_t size = (end == std::string::npos ? buffer_.size() : end + 1) - consumed_;
  const bool first = step_ == Step::kHead && !firstLineRead_;
  if (headBytes_ + size > kHeadLimit) return fail(first ? 414 : 431), false;
  if (end == std::string::npos) {
    scanned_ = buffer_.size();
    return false;
  }
  if (end == consumed_ || buffer_[end - 1] != '\r') return fail(400), false;
  line.assign(buffer_, consumed_, end - 1 - consumed_);
  consumed_ += size;
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
      if (side_ == Side::kRequest && message_.headers.size() >= kMaxHeaderFields) return fail(431), false;
      if (!headerLine(line)) return fail(400), false;
    } else if (side_ == Side::kAnswer && message_.status < 200) {
      message_ = HttpMessage();  // an interim answer: the final one follows
      firstLineRead_ = false;
    } else {
      return beginBody();
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
    const auto status = parseNumber(line.substr(first + 1, 3), 10);
    const bool isTerminated = line.size() == first + 4 || (line.size() > first + 4 && line[first + 4] == ' ');
    if (!versionFits(line.substr(0, first)) || !status || *status < 100 || !isTerminated) return false;
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
  const bool control = std::any_of(value.begin(), value.end(), [](char character) {
    return (static_cast<unsigned char>(character) < 0x20 && character != '\t') || character == 0x7f;
  });
  if (control) return false;
  message_.headers.emplace_back(line.substr(0, colon), value);
  return true;
}

}  // namespace myrtleloft
