#include "json/json.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace myrtleloft::json {
namespace {

constexpr std::size_t kMaxDepth = 32;  // levels of nesting below the outermost array or object

// Returns the text of the value as a number, or std::nullopt if there is no value or it is not such a number.
template <typename T>
std::optional<T> convertedNumber(const Value* value) {
  T number{};
  if (!value) return std::nullopt;
  const char* end = value->text.data() + value->text.size();
  const auto [at, error] = std::from_chars(value->text.data(), end, number);
  if (error != std::errc() || at != end) return std::nullopt;
  return number;
}

// Builds the tree from the events of nlohmann's parser. The library's own tree type would silently keep only
// the last of several members of the same name, and would not keep floating-point numbers as written.
class Builder : public nlohmann::json_sax<nlohmann::json> {
 public:
  Builder(Value& root, std::string& error) : target_(&root), error_(error) {}

  bool null() override { return scalar(Value::Type::kNull, "null"); }
  bool boolean(bool value) override { return scalar(Value::Type::kBool, value ? "true" : "false"); }
  bool number_integer(number_integer_t value) override {
    return scalar(Value::Type::kNumber, std::to_string(value));
  }
  bool number_unsigned(number_unsigned_t value) override {
    return scalar(Value::Type::kNumber, std::to_string(value));
  }
  bool number_float(number_float_t, const string_t& written) override {
    return scalar(Value::Type::kNumber, written);
  }
  bool string(string_t& value) override { return scalar(Value::Type::kString, std::move(value)); }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return openContainer(Value::Type::kObject); }
  bool key(string_t& name) override {
    auto& members = openContainers_.back()->members;
    members.push_back({std::move(name), Value()});
    target_ = &members.back().value;
    return true;
  }
  bool end_object() override {
    std::vector<std::string_view> names;
    for (const auto& member : openContainers_.back()->members) names.push_back(member.name);
    std::sort(names.begin(), names.end());
    const auto duplicate = std::adjacent_find(names.begin(), names.end());
    if (duplicate != names.end()) return fail("duplicate name '" + std::string(*duplicate) + "'");
    return closeContainer();
  }
  bool start_array(std::size_t) override { return openContainer(Value::Type::kArray); }
  bool end_array() override { return closeContainer(); }
  bool parse_error(std::size_t at, const std::string&, const nlohmann::detail::exception& failure) override {
    // Drops the prefix of messages such as
    // "[json.exception.parse_error.101] parse error at line 1, column 5: syntax error while ...".
    const std::string_view what = failure.what();
    const std::size_t prefixEnd = what.find("] ");
    error_ = std::string(prefixEnd == what.npos ? what : what.substr(prefixEnd + 2)) + " (byte " +
             std::to_string(at) + ")";
    return false;
  }

 private:
  bool fail(std::string message) {
    error_ = std::move(message);
    return false;
  }
  // Returns the place for the next value: a new array element, the current member, or the root.
  Value& nextValue() {
    if (!openContainers_.empty() && openContainers_.back()->type == Value::Type::kArray)
      return openContainers_.back()->items.emplace_back();
    return *target_;
  }
  bool scalar(Value::Type type, std::string text) {
    Value& value = nextValue();
    value.type = type;
    value.text = std::move(text);
    return true;
  }
  bool openContainer(Value::Type type) {
    if (openContainers_.size() > kMaxDepth) return fail("nested too deeply");
    Value& value = nextValue();
    value.type = type;
    openContainers_.push_back(&value);
    return true;
  }
  bool closeContainer() {
    openContainers_.pop_back();
    return true;
  }

  // The arrays and objects that are not complete yet, from the outermost to the innermost. The pointers stay
  // valid because siblings, which may cause a reallocation, are added only after a container is complete.
  std::vector<Value*> openContainers_;
  Value* target_;  // the value of the current member, or the root
  std::string& error_;
};

// Iterator over the text that also stores how far the parser has read.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char*& read, const char* at) : read_(&read), at_(at) {}
  reference operator*() const { return *at_; }
  CountingIterator& operator++() {
    *read_ = ++at_;
    return *this;
  }
  CountingIterator operator++(int) {
    const CountingIterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const CountingIterator& other) const { return at_ == other.at_; }
  bool operator!=(const CountingIterator& other) const { return at_ != other.at_; }

 private:
  const char** read_;
  const char* at_;
};

}  // namespace

const Value* Value::find(std::string_view name) const {
  for (const auto& [key, value] : members)
    if (key == name) return &value;
  return nullptr;
}

const Value* Value::find(std::string_view name, Type wanted) const {
  const Value* value = find(name);
  return value && value->type == wanted ? value : nullptr;
}

std::optional<double> Value::asNumber() const {
  return type == Type::kNumber ? convertedNumber<double>(this) : std::nullopt;
}

std::optional<std::string> Value::string(std::string_view name) const {
  const Value* value = find(name, Type::kString);
  return value ? std::optional(value->text) : std::nullopt;
}
std::optional<double> Value::number(std::string_view name) const {
  const auto value = convertedNumber<double>(find(name, Type::kNumber));
  return value && std::isfinite(*value) ? value : std::nullopt;
}
std::optional<std::int64_t> Value::integer(std::string_view name) const {
  return convertedNumber<std::int64_t>(find(name, Type::kNumber));
}
std::optional<bool> Value::boolean(std::string_view name) const {
  const Value* value = find(name, Type::kBool);
  return value ? std::optional(value->text == "true") : std::nullopt;
}

std::optional<Value> parse(std::string_view text, std::string& error) {
  Value root;
  Builder builder(root, error);
  if (!nlohmann::json::sax_parse(text.begin(), text.end(), &builder)) return std::nullopt;
  return root;
}

std::optional<Value> parse(std::string_view text, std::string& error, std::size_t& at) {
  Value root;
  Builder builder(root, error);
  const char* read = text.data();
  if (nlohmann::json::sax_parse(CountingIterator(read, read),
                                CountingIterator(read, text.data() + text.size()), &builder))
    return root;
  at = static_cast<std::size_t>(read - text.data());
  at -= std::min<std::size_t>(at, 1);
  return std::nullopt;
}

bool isTruncated(std::string_view text) {
  // No value and no token goes on over a line break, so a parser that reads as far as one behind the text has
  // found no error in the text itself.
  const std::string continued = std::string(text) + '\n';
  std::string error;
  std::size_t errorOffset = 0;
  return !parse(continued, error, errorOffset) && errorOffset >= text.size();
}

std::string quote(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace myrtleloft::json
