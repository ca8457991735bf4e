// Conversion of a client's HTTP message into an IncomingRequest.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "exchange/request.h"
#include "net/http.h"

namespace myrtleloft {

struct RequestNames {
  std::vector<std::string> classes, tenants;
  std::string unitHeader{};  // header that names the unit of a tenant; empty if there is none
};

// Returns std::nullopt if a header is missing, malformed or unknown.
std::optional<IncomingRequest> readRequest(const HttpMessage& message, const RequestNames& names);

// Classifies the bytes that follow a complete request on its connection.
enum class TrailingBytes {
  kNothing,
  kRequest,     // the request line of another request
  kIncomplete,  // possibly the beginning of a request line
  kGarbage,     // anything else: the Content-Length of the request was wrong
};
TrailingBytes classifyTrailing(std::string_view bytes);

// Returns the target without its query.
std::string_view path(std::string_view target);
// Returns the first segment of the path without its slash, or an empty view if the path does not begin with a
// slash.
std::string_view firstSegment(std::string_view target);
// Returns the index of `name` in `names`, or std::nullopt.
std::optional<int> indexOfName(const std::vector<std::string>& names, std::string_view name);

}  // namespace myrtleloft
