#include "config/json.h"

#include <charconv>
#include <cmath>

namespace myrtleloft::json {
namespace {

constexpr int kDeepest = 32;  // nesting that is followed; more could exhaust the stack

template <typename T>
std::optional<T> converted(const Value* value) {
  T number{};
  if (!value) return std::nullopt;
  const char* end = value->text.data() + value->text.size();
  const auto [at, error] = std::from_chars(value->text.data(), end, number);
  if (error != std::errc() || at != end) return std::nullopt;
  return number;
}

class Parser {
 public:
  explicit Parser(std::string_view text) : text_(text) {}

  std::optional<Value> document(std::string& error) {
    Value value;
    if (read(value, 0)) {
      skipSpace();
      if (at_ == text_.size()) return value;
      fail("text after the value");
    }
    error = error_ + " at byte " + std::to_string(at_);
    return std::nullopt;
  }

 private:
  bool fail(const char* what) {
    if (error_.empty()) error_ = what;
    return false;
  }
  void skipSpace() {
    while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos)
      ++at_;
  }
  bool skip(char c) {
    skipSpace();
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }

  bool read(Value& value, int depth) {
    if (depth > kDeepest) return fail("nested too deep");
    skipSpace();
    if (at_ >= text_.size()) return fail("text ends early");
    switch (text_[at_]) {
      case '{':
        return readObject(value, depth);
      case '[':
        return readArray(value, depth);
      case '"':
        value.type = Value::Type::kString;
        return readString(value.text);
      case 't':
        return word(value, "true", Value::Type::kBool);
      case 'f':
        return word(value, "false", Value::Type::kBool);
      case 'n':
        return word(value, "null", Value::Type::kNull);
      default:
        return readNumber(value);
    }
  }

  bool word(Value& value, std::string_view expected, Value::Type type) {
    if (text_.substr(at_, expected.size()) != expected) return fail("unknown word");
    at_ += expected.size();
    value.type = type;
    value.text = expected;
    return true;
  }

  bool readObject(Value& value, int depth) {
    value.type = Value::Type::kObject;
    ++at_;
    if (skip('}')) return true;
    do {
      skipSpace();
      std::string name;
      if (at_ >= text_.size() || text_[at_] != '"' || !readString(name)) return fail("a name is missing");
      if (!skip(':')) return fail("':' is missing");
      for (const auto& member : value.members)
        if (member.first == name) return fail("a name stands twice");
      if (!read(value.members.emplace_back(std::move(name), Value()).second, depth + 1)) return false;
    } while (skip(','));
    return skip('}') || fail("'}' is missing");
  }

  bool readArray(Value& value, int depth) {
    value.type = Value::Type::kArray;
    ++at_;
    if (skip(']')) return true;
    do {
      if (!read(value.items.emplace_back(), depth + 1)) return false;
    } while (skip(','));
    return skip(']') || fail("']' is missing");
  }

  bool digits() {
    const std::size_t from = at_;
    while (at_ < text_.size() && text_[at_] >= '0' && text_[at_] <= '9') ++at_;
    return at_ > from;
  }
  bool next(std::string_view any) {
    if (at_ >= text_.size() || any.find(text_[at_]) == std::string_view::npos) return false;
    ++at_;
    return true;
  }
  bool readNumber(Value& value) {
    const std::size_t from = at_;
    next("-");
    const bool zero = at_ < text_.size() && text_[at_] == '0';
    const std::size_t whole = at_;
    if (!digits() || (zero && at_ > whole + 1)) return fail("not a value");
    if (next(".") && !digits()) return fail("not a number");
    if (next("eE")) {
      next("+-");
      if (!digits()) return fail("not a number");
    }
    value.type = Value::Type::kNumber;
    value.text = text_.substr(from, at_ - from);
    return true;
  }

  bool readHex(std::uint32_t& code) {
    const std::string_view four = text_.substr(at_, 4);
    const auto [end, error] = std::from_chars(four.data(), four.data() + four.size(), code, 16);
    if (four.size() < 4 || error != std::errc() || end != four.data() + 4) return fail("not four hex digits");
    at_ += 4;
    return true;
  }
  bool readEscaped(std::string& out) {
    std::uint32_t code = 0;
    if (!readHex(code)) return false;
    if (code >= 0xd800 && code < 0xdc00) {
      std::uint32_t low = 0;
      if (text_.substr(at_, 2) != "\\u") return fail("half a surrogate pair");
      at_ += 2;
      if (!readHex(low)) return false;
      if (low < 0xdc00 || low > 0xdfff) return fail("half a surrogate pair");
      code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
    } else if (code >= 0xdc00 && code <= 0xdfff) {
      return fail("half a surrogate pair");
    }
    const auto put = [&out](std::uint32_t byte) { out += static_cast<char>(byte); };
    if (code < 0x80) {
      put(code);
    } else if (code < 0x800) {
      put(0xc0 | (code >> 6)), put(0x80 | (code & 0x3f));
    } else if (code < 0x10000) {
      put(0xe0 | (code >> 12)), put(0x80 | ((code >> 6) & 0x3f)), put(0x80 | (code & 0x3f));
    } else {
      put(0xf0 | (code >> 18)), put(0x80 | ((code >> 12) & 0x3f));
      put(0x80 | ((code >> 6) & 0x3f)), put(0x80 | (code & 0x3f));
    }
    return true;
  }
  bool readString(std::string& out) {
    static constexpr std::string_view kEscapes = "\"\\/bfnrt", kMeant = "\"\\/\b\f\n\r\t";
    ++at_;
    while (at_ < text_.size() && text_[at_] != '"') {
      if (static_cast<unsigned char>(text_[at_]) < 0x20) return fail("a control character in a string");
      if (text_[at_] != '\\') {
        out += text_[at_++];
        continue;
      }
      if (++at_ >= text_.size()) break;
      const char c = text_[at_++];
      if (c == 'u') {
        if (!readEscaped(out)) return false;
      } else if (const std::size_t which = kEscapes.find(c); which != std::string_view::npos) {
        out += kMeant[which];
      } else {
        return fail("unknown escape");
      }
    }
    if (at_ >= text_.size()) return fail("a string does not end");
    ++at_;
    return true;
  }

  std::string_view text_;
  std::size_t at_ = 0;
  std::string error_;
};

}  // namespace

const Value* Value::find(std::string_view name, Type wanted) const {
  for (const auto& [key, value] : members)
    if (key == name) return value.type == wanted ? &value : nullptr;
  return nullptr;
}

std::optional<std::string> Value::string(std::string_view name) const {
  const Value* value = find(name, Type::kString);
  return value ? std::optional(value->text) : std::nullopt;
}
std::optional<double> Value::number(std::string_view name) const {
  const auto value = converted<double>(find(name, Type::kNumber));
  return value && std::isfinite(*value) ? value : std::nullopt;
}
std::optional<std::int64_t> Value::integer(std::string_view name) const {
  return converted<std::int64_t>(find(name, Type::kNumber));
}
std::optional<bool> Value::boolean(std::string_view name) const {
  const Value* value = find(name, Type::kBool);
  return value ? std::optional(value->text == "true") : std::nullopt;
}

std::optional<Value> parse(std::string_view text, std::string& error) { return Parser(text).document(error); }

std::string quote(std::string_view text) {
  static constexpr std::string_view kHex = "0123456789abcdef";
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\', out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      out.append("\\u00").append(1, kHex[static_cast<std::size_t>(c >> 4)]);
      out += kHex[static_cast<std::size_t>(c & 15)];
    } else {
      out += c;
    }
  }
  return out += '"';
}

}  // namespace myrtleloft::json
