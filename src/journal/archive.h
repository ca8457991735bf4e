// cereal's archives over plain texts: fixed-size numbers in this machine's order, texts behind their length.
//
//   std::string bytes;
//   BufferOutputArchive(bytes)(record);                 // appends
//   BufferInputArchive in(bytes);
//   in(record);                             // throws a std::exception where the bytes are too short
//   in.left()                               // bytes not read yet
//
// Lengths are 32 bits: nothing here is longer. Safe for several threads; O(size).
#pragma once

// Before any of cereal's headers, and the same everywhere.
#define CEREAL_SIZE_TYPE std::uint32_t
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>

namespace myrtleloft {

// cereal's own archives write to streams, at several times the cost of the write(2) that follows.
class BufferOutputArchive
    : public cereal::OutputArchive<BufferOutputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BufferOutputArchive(std::string& out) : OutputArchive(this), out_(out) {}
  void bytes(const void* data, std::size_t size) { out_.append(static_cast<const char*>(data), size); }

 private:
  std::string& out_;
};

struct BufferTooShort : std::exception {};

class BufferInputArchive : public cereal::InputArchive<BufferInputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BufferInputArchive(std::string_view bytes) : InputArchive(this), rest_(bytes) {}
  void bytes(void* data, std::size_t size) {
    if (size > rest_.size()) throw BufferTooShort();
    std::memcpy(data, rest_.data(), size);
    rest_.remove_prefix(size);
  }
  std::size_t left() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

template <typename Number, std::enable_if_t<std::is_arithmetic_v<Number>, int> = 0>
void CEREAL_SAVE_FUNCTION_NAME(BufferOutputArchive& archive, const Number& value) {
  archive.bytes(&value, sizeof value);
}
template <typename Number, std::enable_if_t<std::is_arithmetic_v<Number>, int> = 0>
void CEREAL_LOAD_FUNCTION_NAME(BufferInputArchive& archive, Number& value) {
  archive.bytes(&value, sizeof value);
}
template <typename Element>
void CEREAL_SAVE_FUNCTION_NAME(BufferOutputArchive& archive, const cereal::SizeTag<Element>& tag) {
  archive(tag.size);
}
template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(BufferInputArchive& archive, cereal::SizeTag<Element>& tag) {
  archive(tag.size);
  // Each element takes a byte at least: a length beyond what is left would only reserve memory.
  if (tag.size > archive.left()) throw BufferTooShort();
}
template <typename Element>
void CEREAL_SAVE_FUNCTION_NAME(BufferOutputArchive& archive, const cereal::BinaryData<Element>& data) {
  archive.bytes(data.data, static_cast<std::size_t>(data.size));
}
template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(BufferInputArchive& archive, cereal::BinaryData<Element>& data) {
  archive.bytes(data.data, static_cast<std::size_t>(data.size));
}

}  // namespace myrtleloft

CEREAL_SETUP_ARCHIVE_TRAITS(myrtleloft::BufferInputArchive, myrtleloft::BufferOutputArchive)
