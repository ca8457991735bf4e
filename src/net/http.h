// HTTP/1.1 messages: an incremental reader for both directions, and writers. Knows nothing of sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace myrtleloft {

inline constexpr std::size_t kHeadLimit = std::size_t{16} * 1024;
inline constexpr std::size_t kBodyLimit = std::size_t{64} * 1024;

struct HttpMessage {
  std::string method, target;  // of a request
  int status = 0;              // of an answer
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool keepAlive = true;

  // The first header of that name, whatever its case; nullptr: none.
  const std::string* header(std::string_view name) const;
};

class HttpReader {
 public:
  enum class Side { kRequest, kAnswer };
  enum class State { kMore, kDone, kBad };

  explicit HttpReader(Side side, std::size_t bodyLimit = kBodyLimit) : side_(side), bodyLimit_(bodyLimit) {}

  // Bytes may come in any pieces. After kDone the message can be taken, and what follows it stays.
  std::string& buffer() { return buffer_; }
  State advance();
  // The peer closed: ends an answer whose body runs until then.
  State finish();
  HttpMessage take();

  int errorStatus() const { return errorStatus_; }  // after kBad: 400, 413, 414 or 431
  // Memory that it holds, in bytes.
  std::size_t held() const { return buffer_.capacity() + headBytes_ + message_.body.capacity(); }
  bool midMessage() const { return !buffer_.empty() || firstLineRead_ || step_ != Step::kHead; }
  // What is in so far; the status of an answer as soon as its first line is.
  const HttpMessage& partial() const { return message_; }
  bool expectsContinue() const { return expectsContinue_ && step_ != Step::kHead && step_ != Step::kDone; }
  void continued() { expectsContinue_ = false; }

 private:
  enum class Step { kHead, kLength, kChunkSize, kChunk, kChunkEnd, kTrailer, kUntilClose, kDone, kBad };

  State read();
  State fail(int status);
  bool readHead();  // false: more needed, or failed
  bool firstLine(std::string_view line);
  bool headerLine(std::string_view line);
  bool takeLine(std::string& line);  // false: more needed, or failed
  State withoutLine() const { return step_ == Step::kBad ? State::kBad : State::kMore; }

  // What a head says of where its body ends.
  struct Framing {
    std::optional<std::uint64_t> length;
    bool chunked = false;
  };
  bool beginBody();  // false: failed
  // Of a header that says nothing of it: nothing. false: it contradicts itself or an earlier one.
  bool readFramingHeader(std::string_view name, std::string_view value, Framing& framing);
  State readBody();
  // One of them at a time; none: the next one can go on at once.
  std::optional<State> readBodyStep();
  std::optional<State> readPart(Step next);
  std::optional<State> readChunkSize();
  std::optional<State> readChunkEnd();
  std::optional<State> readTrailer();
  std::optional<State> readUntilClose();

  Side side_;
  std::size_t bodyLimit_;
  std::string buffer_;
  // Of the buffer: how much is used up, and how far no line's end was found. What is used up goes at the end
  // of advance(), all at once: taken off line by line, 16 KiB of small chunks cost 8,000 moves of the rest.
  std::size_t used_ = 0, scanned_ = 0;
  std::size_t headBytes_ = 0;
  std::uint64_t left_ = 0;
  Step step_ = Step::kHead;
  HttpMessage message_;
  bool firstLineRead_ = false, expectsContinue_ = false;
  int errorStatus_ = 0;
};

using Headers = std::vector<std::pair<std::string_view, std::string>>;
std::string writeRequest(std::string_view method, std::string_view target, std::string_view host,
                         const Headers& headers, std::string_view body);
std::string writeAnswer(int status, const Headers& headers, std::string_view body, bool keepAlive);

}  // namespace myrtleloft
