// What a client's HTTP message asks for.
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
  std::string unitHeader{};  // that names a unit of the tenant; empty: none does
};

// A request as HTTP carries it; nothing where it is unusable.
std::optional<IncomingRequest> readRequest(const HttpMessage& message, const RequestNames& names);

// What stands behind a whole request among the bytes of its connection.
enum class Behind {
  kNothing,
  kRequest,  // a line that begins one more request
  kUnsure,   // so far it may become such a line
  kRest,     // anything else: the request's length was wrong
};
Behind behind(std::string_view bytes);

// Of a message's target: what is before the query; the first part of that, without its slash, empty where it
// does not begin with one.
std::string_view path(std::string_view target);
std::string_view firstPart(std::string_view target);
// Where `name` stands among `names`; nothing where it does not.
std::optional<int> positionOf(const std::vector<std::string>& names, std::string_view name);

}  // namespace myrtleloft
