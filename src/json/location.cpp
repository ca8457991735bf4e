#include "json/location.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace myrtleloft::json {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

// Moves through a text that is known to be valid JSON.
class JsonCursor {
 public:
  explicit JsonCursor(std::string_view text) : text_(text) { skipWhitespace(); }

  std::size_t offset() const { return at_; }
  // Enters the object or array at the cursor, and moves to the value of this name or index. Returns false and
  // does not move if there is none.
  bool enter(std::string_view component) {
    const std::size_t start = at_;
    const char kind = text_[at_];
    std::size_t index = 0;
    if (kind == '[') {
      const auto [end, error] = std::from_chars(component.data(), component.data() + component.size(), index);
      if (error != std::errc() || end != component.data() + component.size()) return false;
    } else if (kind != '{') {
      return false;
    }
    advance(1);
    for (std::size_t i = 0; at_ < text_.size() && text_[at_] != '}' && text_[at_] != ']'; ++i) {
      bool matches = kind == '[' && i == index;
      if (kind == '{') {
        const std::string_view name = skipValue();
        matches = name.substr(1, name.size() - 2) == component;
        advance(1);  // the colon
      }
      if (matches) return true;
      skipValue();
      if (at_ < text_.size() && text_[at_] == ',') advance(1);
    }
    at_ = start;
    return false;
  }

 private:
  void skipWhitespace() { at_ = std::min(text_.find_first_not_of(kWhitespace, at_), text_.size()); }
  // Moves by `bytes` and past any whitespace that follows.
  void advance(std::size_t bytes) {
    at_ += bytes;
    skipWhitespace();
  }
  // Moves past a complete value or member name, and returns its text.
  std::string_view skipValue() {
    const std::size_t from = at_;
    std::size_t depth = 0, end = at_;
    do {
      const char byte = text_[end];
      if (byte == '"') {
        for (++end; end < text_.size() && text_[end] != '"'; ++end) end += text_[end] == '\\';
        ++end;
      } else if (byte == '{' || byte == '[') {
        ++depth, ++end;
      } else if (byte == '}' || byte == ']') {
        --depth, ++end;
      } else if (depth > 0) {
        ++end;
      } else {
        end = std::min(text_.find_first_of(" \t\r\n,]}", end), text_.size());
      }
    } while (depth > 0 && end < text_.size());
    at_ = std::min(end, text_.size());
    const std::string_view value = text_.substr(from, at_ - from);
    skipWhitespace();
    return value;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

}  // namespace

Location locationAt(std::string_view text, std::size_t byte) {
  const std::string_view before = text.substr(0, byte);
  const std::size_t lineStart = before.rfind('\n') + 1;  // npos + 1 is 0
  return {static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1,
          before.size() - lineStart + 1};
}

Location locationOf(std::string_view text, std::string_view path) {
  JsonCursor cursor(text);
  while (!path.empty() && cursor.offset() < text.size()) {
    const std::size_t end = std::min(path.find_first_of(".[]"), path.size());
    const std::string_view component = path.substr(0, end);
    path.remove_prefix(std::min(end + 1, path.size()));
    if (!component.empty() && !cursor.enter(component)) break;
  }
  return locationAt(text, cursor.offset());
}

}  // namespace myrtleloft::json
