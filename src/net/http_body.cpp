// HttpReader: message framing and bodies.
#include <algorithm>
#include <optional>
#include <string_view>

#include "net/http.h"
#include "net/http_text.h"

namespace myrtleloft {
namespace {

constexpr int kNoContent = 204, kNotModified = 304;

}  // namespace

bool HttpReader::readFramingHeader(std::string_view name, std::string_view value, Framing& framing) {
  if (equalsIgnoreCase(name, "Content-Length")) {
    const std::optional<std::uint64_t> length = parseNumber(value, 10);
    if (!length || (framing.length && *framing.length != *length)) return false;
    framing.length = length;
  } else if (equalsIgnoreCase(name, "Transfer-Encoding")) {
    if (framing.chunked || !equalsIgnoreCase(value, "chunked")) return false;
    framing.chunked = true;
  } else if (equalsIgnoreCase(name, "Connection")) {
    if (listContains(value, "close"))
      message_.keepAlive = false;
    else if (listContains(value, "keep-alive"))
      message_.keepAlive = true;
  } else if (equalsIgnoreCase(name, "Expect") && equalsIgnoreCase(value, "100-continue")) {
    expectsContinue_ = true;
  }
  return true;
}

// Messages with ambiguous framing are rejected.
bool HttpReader::beginBody() {
  Framing framing;
  for (const auto& [name, value] : message_.headers)
    if (!readFramingHeader(name, value, framing)) return fail(400), false;
  if (framing.chunked && framing.length) return fail(400), false;
  if (framing.length && *framing.length > bodyLimit_) return fail(413), false;
  const bool isAnswer = side_ == Side::kAnswer;
  const bool bodyless = isAnswer && (message_.status == kNoContent || message_.status == kNotModified);
  remaining_ = bodyless ? 0 : framing.length.value_or(0);
  step_ = Step::kLength;
  if (framing.chunked && !bodyless)
    step_ = Step::kChunkSize;
  else if (isAnswer && !framing.length && !bodyless)
    step_ = Step::kUntilClose;
  if (step_ == Step::kUntilClose) message_.keepAlive = false;
  return true;
}

HttpReader::State HttpReader::readBody() {
  for (;;)
    if (const std::optional<State> state = readBodyStep()) return *state;
}

std::optional<HttpReader::State> HttpReader::readBodyStep() {
  switch (step_) {
    case Step::kLength:
      return readBytes(Step::kDone);
    case Step::kChunk:
      return readBytes(Step::kChunkEnd);
    case Step::kChunkSize:
      return readChunkSize();
    case Step::kChunkEnd:
      return readChunkEnd();
    case Step::kTrailer:
      return readTrailer();
    case Step::kUntilClose:
      return readUntilClose();
    case Step::kDone:
      return State::kDone;
    case Step::kHead:
    case Step::kBad:
      break;
  }
  return State::kBad;
}

std::optional<HttpReader::State> HttpReader::readBytes(Step next) {
  const auto available =
      static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, buffer_.size() - consumed_));
  message_.body.append(buffer_, consumed_, available);
  consumed_ += available;
  remaining_ -= available;
  if (remaining_ > 0) return State::kMore;
  step_ = next;
  return std::nullopt;
}

std::optional<HttpReader::State> HttpReader::readChunkSize() {
  std::string line;
  if (!takeLine(line)) return stateWithoutLine();
  const std::string_view digits = trimmed(std::string_view(line).substr(0, line.find(';')));
  const std::optional<std::uint64_t> size = parseNumber(digits, 16);
  if (!size) return fail(400);
  if (*size > bodyLimit_ - message_.body.size()) return fail(413);
  remaining_ = *size;
  step_ = *size == 0 ? Step::kTrailer : Step::kChunk;
  return std::nullopt;
}

std::optional<HttpReader::State> HttpReader::readChunkEnd() {
  std::string line;
  if (!takeLine(line)) return stateWithoutLine();
  if (!line.empty()) return fail(400);
  headBytes_ = 0;  // the limit applies to one framing line, not to the number of chunks
  step_ = Step::kChunkSize;
  return std::nullopt;
}

std::optional<HttpReader::State> HttpReader::readTrailer() {
  std::string line;
  if (!takeLine(line)) return stateWithoutLine();
  if (line.empty()) step_ = Step::kDone;
  return std::nullopt;
}

std::optional<HttpReader::State> HttpReader::readUntilClose() {
  if (message_.body.size() + buffer_.size() - consumed_ > bodyLimit_) return fail(413);
  message_.body.append(buffer_, consumed_);
  consumed_ = buffer_.size();
  return State::kMore;
}

}  // namespace myrtleloft
