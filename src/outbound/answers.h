// Maps HTTP answers of endpoints to call outcomes, as the protocol defines, and writes the body of bulk
// calls. Pure functions: no sockets and no state.
#pragma once

#include <string>
#include <vector>

#include "myrtleloft/dispatcher.h"
#include "net/http.h"
#include "outbound/upstream_client.h"

namespace myrtleloft {

// Returns the JSON body of a bulk call.
std::string writeBulk(const std::vector<CallItem>& items);
// Returns the outcome that an answer has for each request of its call. The id is empty.
CallOutcome readAnswer(const HttpMessage& answer);
// Returns the outcome that a malformed or truncated answer has for each request of its call. `partialAnswer`
// is what could be parsed of it.
CallOutcome readInvalidAnswer(const HttpMessage& partialAnswer, bool bulk);
// Returns one outcome for each item of a bulk call that was answered with status 200.
std::vector<CallOutcome> readBulkAnswer(const HttpMessage& answer, const std::vector<CallItem>& items);
// Returns the load report that the answer carries, restricted to the given columns.
LoadReport readReport(const HttpMessage& answer, const std::vector<std::string>& columns);
std::string base64(std::string_view bytes);

}  // namespace myrtleloft
