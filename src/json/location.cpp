#include "json/location.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace myrtleloft::json {
namespace {

constexpr std::string_view kSpace = " \t\r\n";

// Goes over a text known to be JSON.
class Walk {
 public:
  explicit Walk(std::string_view text) : text_(text) { space(); }

  std::size_t at() const { return at_; }
  // Steps into the object or list that begins here, up to the value under that name or index.
  bool enter(std::string_view part) {
    const std::size_t whole = at_;
    const char kind = text_[at_];
    std::size_t wanted = 0;
    if (kind == '[') {
      const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), wanted);
      if (error != std::errc() || end != part.data() + part.size()) return false;
    } else if (kind != '{') {
      return false;
    }
    step(1);
    for (std::size_t i = 0; at_ < text_.size() && text_[at_] != '}' && text_[at_] != ']'; ++i) {
      bool here = kind == '[' && i == wanted;
      if (kind == '{') {
        const std::string_view name = skip();
        here = name.substr(1, name.size() - 2) == part;
        step(1);  // the colon
      }
      if (here) return true;
      skip();
      if (at_ < text_.size() && text_[at_] == ',') step(1);
    }
    at_ = whole;
    return false;
  }

 private:
  void space() { at_ = std::min(text_.find_first_not_of(kSpace, at_), text_.size()); }
  void step(std::size_t bytes) {
    at_ += bytes;
    space();
  }
  // Over a whole value, or a name.
  std::string_view skip() {
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
    space();
    return value;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

}  // namespace

Location locationAt(std::string_view text, std::size_t byte) {
  const std::string_view before = text.substr(0, byte);
  const std::size_t lineBegins = before.rfind('\n') + 1;  // npos + 1: 0
  return {static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1,
          before.size() - lineBegins + 1};
}

Location locationOf(std::string_view text, std::string_view path) {
  Walk walk(text);
  while (!path.empty() && walk.at() < text.size()) {
    const std::size_t end = std::min(path.find_first_of(".[]"), path.size());
    const std::string_view part = path.substr(0, end);
    path.remove_prefix(std::min(end + 1, path.size()));
    if (!part.empty() && !walk.enter(part)) break;
  }
  return locationAt(text, walk.at());
}

}  // namespace myrtleloft::json
