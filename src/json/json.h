// A strict JSON parser (RFC 8259) on top of the nlohmann library. It rejects duplicate names in an object,
// unpaired surrogates, invalid UTF-8, and nesting of more than 32 levels below the outermost value. Also
// encodes JSON strings, the only output that the relay needs.
//
//   std::string error;
//   const std::optional<json::Value> value = json::parse(text, error);
//   if (!value) ... error ...   // e.g. "duplicate name 'id'"
//
// Thread-safe. Cost: O(text); looking up a member is O(members of the object).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace myrtleloft::json {

struct Member;

// A JSON value, with its elements or members.
struct Value {
  enum class Type { kNull, kBool, kNumber, kString, kArray, kObject };
  Type type = Type::kNull;
  std::string text;             // a string's unescaped content; a number, `true`, `false` or `null` as text
  std::vector<Value> items;     // elements of an array
  std::vector<Member> members;  // members of an object, in the order of the text

  // Returns the value of the member of this name, or nullptr if there is none.
  const Value* find(std::string_view name) const;
  // As above, but also returns nullptr if the value is of another type.
  const Value* find(std::string_view name, Type wanted) const;
  // Each of these returns the value of the member of this name, or std::nullopt if there is none, or if its
  // value is of another type or out of range.
  std::optional<std::string> string(std::string_view name) const;
  std::optional<double> number(std::string_view name) const;
  std::optional<std::int64_t> integer(std::string_view name) const;
  std::optional<bool> boolean(std::string_view name) const;
  // Returns this value as a number, or std::nullopt if it is not a number or out of the range of a double.
  std::optional<double> asNumber() const;
};

// A member of an object.
struct Member {
  std::string name;
  Value value;
};

// Returns std::nullopt if `text` is not valid JSON, with the reason in `error`.
std::optional<Value> parse(std::string_view text, std::string& error);
// As above; on failure, `at` is the offset of the byte at which the parser stopped. For a duplicate name,
// this is the end of the object.
std::optional<Value> parse(std::string_view text, std::string& error, std::size_t& at);
// Whether the text is invalid only because it ends too early, as a file does that is still being written.
bool isTruncated(std::string_view text);
// Returns the text as a JSON string with quotes. Invalid UTF-8 becomes replacement characters.
std::string quote(std::string_view text);

}  // namespace myrtleloft::json
