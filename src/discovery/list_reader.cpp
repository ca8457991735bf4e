#include "discovery/list_reader.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "json/json.h"

namespace myrtleloft {
namespace {

constexpr std::size_t kMembersDepth = 1;  // the number of open brackets around the members of the list object
constexpr std::size_t kEntriesDepth = 2;  // the number of open brackets around the entries of `targets`
constexpr std::size_t kTypicalEntryBytes = 128;

bool isSpace(char character) {
  return character == ' ' || character == '\t' || character == '\n' || character == '\r';
}

}  // namespace

ListReader::ListReader(std::string body, const IndexNames& names) : body_(std::move(body)), names_(names) {
  // Reserved in advance, because a reallocation would move all endpoints within a single slice.
  endpoints_.reserve(body_.size() / kTypicalEntryBytes + 1);
}

bool ListReader::step(std::size_t bytes) {
  const std::size_t end = std::min(body_.size(), at_ + bytes);
  for (; at_ < end && !error_ && phase_ != Phase::kAfterEntries; ++at_) {
    const char character = body_[at_];
    if (!inString_) {
      readStructure(character);
    } else if (escaped_) {
      escaped_ = false;
    } else if (character == '\\') {
      escaped_ = true;
    } else if (character == '"') {
      closeString();
    }
    if (phase_ == Phase::kEntries && depth_ > kEntriesDepth && at_ - entryStart_ >= kMaxEntryBytes)
      fail(ListError::Reason::kEntryTooLong);
  }
  return at_ == body_.size() || error_ || phase_ == Phase::kAfterEntries;
}

void ListReader::readStructure(char character) {
  if (phase_ == Phase::kEntries && depth_ == kEntriesDepth) return betweenEntries(character);
  if (isSpace(character)) return;
  const Preceding before = std::exchange(preceding_, Preceding::kOther);
  if (character == '"') {
    inString_ = true;
    stringStart_ = at_;
  } else if (character == ':' && before == Preceding::kTargetsName) {
    preceding_ = Preceding::kTargetsColon;
  } else if (character == '{' || character == '[') {
    ++depth_;
    if (character != '[' || before != Preceding::kTargetsColon) return;
    phase_ = Phase::kEntries;
    entriesStart_ = at_ + 1;
  } else if ((character == '}' || character == ']') && depth_ > 0) {
    --depth_;
    if (phase_ == Phase::kEntries && depth_ == kEntriesDepth) readEntry();
  }
}

void ListReader::closeString() {
  inString_ = false;
  if (phase_ != Phase::kBeforeEntries || depth_ != kMembersDepth) return;
  const std::string_view text = std::string_view(body_).substr(stringStart_, at_ - stringStart_);
  if (text == "\"targets") preceding_ = Preceding::kTargetsName;
}

void ListReader::betweenEntries(char character) {
  if (isSpace(character)) return;
  if (character == '{' && expected_ != Expected::kCommaOrEnd) {
    entryStart_ = at_;
    ++depth_;
  } else if (character == ',' && expected_ == Expected::kCommaOrEnd) {
    expected_ = Expected::kEntry;
  } else if (character == ']' && expected_ != Expected::kEntry) {
    body_.erase(entriesStart_, at_ - entriesStart_);
    phase_ = Phase::kAfterEntries;
  } else {
    fail(expected_ == Expected::kCommaOrEnd ? ListError::Reason::kEntrySeparator
                                            : ListError::Reason::kEntryNotObject);
  }
}

void ListReader::readEntry() {
  const std::string_view text = std::string_view(body_).substr(entryStart_, at_ + 1 - entryStart_);
  std::string error;
  const auto value = json::parse(text, error);
  if (!value) return fail(ListError::Reason::kEntryJson, error);
  auto endpoint = readEndpoint(*value, names_);
  if (const auto* faulty = std::get_if<FaultyKey>(&endpoint))
    return fail(ListError::Reason::kEntryKey, faulty->name);
  endpoints_.push_back(std::move(std::get<EndpointRecord>(endpoint)));
  expected_ = Expected::kCommaOrEnd;
}

void ListReader::fail(ListError::Reason reason, std::string detail) {
  error_ = ListError{reason, endpoints_.size(), std::move(detail)};
}

ListResult ListReader::take() {
  if (phase_ == Phase::kEntries && !error_) fail(ListError::Reason::kTruncated);
  if (error_) return *error_;
  // The parsed entries have been removed from the text. If the key "targets" is written with escapes, which
  // only the JSON library decodes, no entry was found, and all of them are parsed here.
  std::string jsonError;
  const auto value = json::parse(body_, jsonError);
  if (!value) return ListError{ListError::Reason::kJson, 0, jsonError};
  ListResult result = readList(*value, names_);
  if (auto* list = std::get_if<EndpointList>(&result); list && phase_ == Phase::kAfterEntries)
    list->endpoints = std::move(endpoints_);
  return result;
}

}  // namespace myrtleloft
