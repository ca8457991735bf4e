// HTTP/1.1 messages: an incremental parser for requests and answers, and functions that serialize them. No
// I/O.
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
// Of a request. Each field takes many times its bytes in memory if it is short.
inline constexpr std::size_t kMaxHeaderFields = 100;

struct HttpMessage {
  std::string method, target;  // of a request
  int status = 0;              // of an answer
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool keepAlive = true;

  // Returns the value of the first header with that name (case-insensitive), or nullptr if there is none.
  const std::string* header(std::string_view name) const;
};

class HttpReader {
 public:
  enum class Side { kRequest, kAnswer };
  enum class State { kMore, kDone, kBad };

  explicit HttpReader(Side side, std::size_t bodyLimit = kBodyLimit) : side_(side), bodyLimit_(bodyLimit) {}

  // The caller appends received bytes to the buffer, in pieces of any size, and then calls advance().
  std::string& buffer() { return buffer_; }
  // Parses the buffered bytes. After kDone the message can be taken.
  State advance();
  // To be called when the peer has closed the connection: completes an answer whose body is delimited by the
  // close.
  State finish();
  // Returns the parsed message, complete or not, and prepares for the next one. Bytes that follow the message
  // stay in the buffer.
  HttpMessage take();

  int errorStatus() const { return errorStatus_; }  // after kBad: 400, 413, 414 or 431
  // Approximate memory use.
  std::size_t memoryBytes() const {
    return buffer_.capacity() + headBytes_ + message_.headers.capacity() * sizeof(message_.headers[0]) +
           message_.body.capacity();
  }
  bool midMessage() const { return !buffer_.empty() || firstLineRead_ || step_ != Step::kHead; }
  // Returns what has been parsed so far. The status of an answer is set once its first line is complete.
  const HttpMessage& partial() const { return message_; }
  bool expectsContinue() const { return expectsContinue_ && step_ != Step::kHead && step_ != Step::kDone; }
  void markContinueSent() { expectsContinue_ = false; }

 private:
  enum class Step { kHead, kLength, kChunkSize, kChunk, kChunkEnd, kTrailer, kUntilClose, kDone, kBad };

  State read();
  State fail(int status);
  // readHead and takeLine return false if more bytes are needed or parsing has failed.
  bool readHead();
  bool firstLine(std::string_view line);
  bool headerLine(std::string_view line);
  bool takeLine(std::string& line);
  State stateWithoutLine() const { return step_ == Step::kBad ? State::kBad : State::kMore; }

  // How the headers delimit the body.
  struct Framing {
    std::optional<std::uint64_t> length;
    bool chunked = false;
  };
  bool beginBody();  // returns false if the headers are invalid
  // Updates `framing`, keepAlive and expectsContinue_ from one header; others are ignored. Returns false if
  // the header is invalid or contradicts an earlier one.
  bool readFramingHeader(std::string_view name, std::string_view value, Framing& framing);
  State readBody();
  // Reads one part of the body. Returns std::nullopt if the next part can be read at once.
  std::optional<State> readBodyStep();
  std::optional<State> readBytes(Step next);
  std::optional<State> readChunkSize();
  std::optional<State> readChunkEnd();
  std::optional<State> readTrailer();
  std::optional<State> readUntilClose();

  Side side_;
  std::size_t bodyLimit_;
  std::string buffer_;
  // Offsets into the buffer: up to where it is consumed, and up to where it was searched for the end of a
  // line. The consumed bytes are erased once at the end of advance(): erasing them line by line would move
  // the rest of a 16 KiB buffer of small chunks 8,000 times.
  std::size_t consumed_ = 0, scanned_ = 0;
  std::size_t headBytes_ = 0;
  std::uint64_t remaining_ = 0;
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
