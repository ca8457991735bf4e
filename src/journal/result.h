// Holds either the value of an operation or the error with which it failed.
//
//   Result<std::string, FileError> read = ...;
//   if (!read) return read.error();
//   use(*read);
//
// As thread-safe as Value and Error. Cost: O(1) in addition to moving them.
#pragma once

#include <utility>
#include <variant>

namespace myrtleloft {

template <typename Value, typename Error>
class Result {
 public:
  Result(Value value) : content_(std::in_place_index<0>, std::move(value)) {}
  Result(Error error) : content_(std::in_place_index<1>, std::move(error)) {}

  explicit operator bool() const { return content_.index() == 0; }
  // Requires a value.
  Value& operator*() { return *std::get_if<0>(&content_); }
  const Value& operator*() const { return *std::get_if<0>(&content_); }
  Value* operator->() { return std::get_if<0>(&content_); }
  const Value* operator->() const { return std::get_if<0>(&content_); }
  // Requires an error.
  Error& error() { return *std::get_if<1>(&content_); }
  const Error& error() const { return *std::get_if<1>(&content_); }

 private:
  std::variant<Value, Error> content_;
};

}  // namespace myrtleloft
