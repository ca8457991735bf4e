#include "journal/errors.h"

#include <cstring>
#include <utility>

namespace myrtleloft {

std::string FileError::message() const {
  return "cannot " + operation + ' ' + file + ": " + std::strerror(number);
}

JournalError::JournalError(FileError error) : cause(std::move(error)), message(cause.message()) {}

JournalError::JournalError(FileError error, std::string text)
    : cause(std::move(error)), message(std::move(text)) {}

}  // namespace myrtleloft
