// cereal archives that write to and read from a std::string. Numbers are encoded with their fixed size in the
// byte order of this machine; a string or vector is preceded by its length.
//
//   std::string bytes;
//   BufferOutputArchive(bytes)(record);   // appends
//   BufferInputArchive in(bytes);
//   in(record);                           // throws a std::exception if the input is too short
//   in.left()                             // number of bytes not read yet
//
// Lengths are encoded in 32 bits, which suffices for every message and record. Archives of different buffers
// can be used by different threads at the same time. Cost: O(size).
#pragma once

// Must be defined before any cereal header is included, with the same type in every translation unit.
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

// Appends to a string. Used in place of cereal's own archives, which write to streams: that costs several
// times as much as the write(2) that follows.
class BufferOutputArchive
    : public cereal::OutputArchive<BufferOutputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BufferOutputArchive(std::string& out) : OutputArchive(this), out_(out) {}
  void bytes(const void* data, std::size_t size) { out_.append(static_cast<const char*>(data), size); }

 private:
  std::string& out_;
};

// Thrown if the input ends before the value that is read from it.
struct BufferTooShort : std::exception {};

// Reads from a buffer that must outlive it.
class BufferInputArchive : public cereal::InputArchive<BufferInputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BufferInputArchive(std::string_view bytes) : InputArchive(this), remaining_(bytes) {}
  void bytes(void* data, std::size_t size) {
    if (size > remaining_.size()) throw BufferTooShort();
    std::memcpy(data, remaining_.data(), size);
    remaining_.remove_prefix(size);
  }
  std::size_t left() const { return remaining_.size(); }

 private:
  std::string_view remaining_;
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
  // Each element takes at least one byte, so a larger count is corrupt. Without this check it would reserve
  // memory for all of these elements.
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
