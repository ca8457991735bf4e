// What an endpoint's answer means: PROTOCOL's table in one place. No sockets, no state.
#pragma once

#include <string>
#include <vector>

#include "myrtleloft/dispatcher.h"
#include "net/http.h"
#include "outbound/upstream_client.h"

namespace myrtleloft {

// Body of a bulk call.
std::string writeBulk(const std::vector<CallItem>& items);
// The common outcome of an answer to a whole call; its id is empty.
CallOutcome readAnswer(const HttpMessage& answer);
// The common outcome of a call whose answer cannot be read to its end.
CallOutcome readInvalidAnswer(const HttpMessage& begun, bool bulk);
// The outcomes of a bulk call that was answered 200, one for each item.
std::vector<CallOutcome> readBulkAnswer(const HttpMessage& answer, const std::vector<CallItem>& items);
// What the answer tells of the endpoint's limit.
LoadReport readReport(const HttpMessage& answer, const std::vector<std::string>& columns);
std::string base64(std::string_view bytes);

}  // namespace myrtleloft
