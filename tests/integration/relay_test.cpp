#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <filesystem>

#include "exchange/recovered.h"
#include "inbound/read_request.h"
#include "json/json.h"
#include "net/http.h"
#include "outbound/answers.h"
#include "tests/integration/player.h"

using namespace myrtleloft;
namespace fs = std::filesystem;

TEST_CASE("recorded exchanges") {
  int played = 0;
  for (const auto& file : fs::directory_iterator(MYRTLELOFT_EXCHANGES)) {
    if (file.path().extension() != ".txt") continue;
    CHECK_EQ(testing::play(file.path(), MYRTLELOFT_PROGRAM), "");
    // At the durability level `group`, the relay's messages are the same.
    CHECK_EQ(testing::play(file.path(), MYRTLELOFT_PROGRAM, {"BALANCER_OPERATOR=" MYRTLELOFT_GROUP}), "");
    ++played;
  }
  CHECK(played > 10);
}

TEST_CASE("a request is parsed identically however its bytes are split") {
  const std::string bytes =
      "POST /a HTTP/1.1\r\nX-A:  b \r\nContent-Length: 3\r\n\r\nabcPOST /b HTTP/1.1\r\nTransfer-Encoding: "
      "chunked\r\nConnection: close\r\n\r\n2\r\nde\r\n1;x\r\nf\r\n0\r\nT: 1\r\n\r\n";
  for (std::size_t split = 0; split <= bytes.size(); ++split) {
    HttpReader reader(HttpReader::Side::kRequest);
    std::vector<HttpMessage> messages;
    for (const std::string& part : {bytes.substr(0, split), bytes.substr(split)}) {
      reader.buffer() += part;
      while (reader.advance() == HttpReader::State::kDone) messages.push_back(reader.take());
    }
    CAPTURE(split);
    REQUIRE_EQ(messages.size(), 2);
    CHECK_EQ(messages[0].target, "/a");
    CHECK_EQ(*messages[0].header("x-a"), "b");
    CHECK_EQ(messages[0].body, "abc");
    CHECK(messages[0].keepAlive);
    CHECK_EQ(messages[1].body, "def");
    CHECK_FALSE(messages[1].keepAlive);
  }
}

TEST_CASE("bytes after a request are classified as another request, an incomplete one, or garbage") {
  CHECK(classifyTrailing("") == TrailingBytes::kNothing);
  const std::string line = "POST /status-update HTTP/1.1\r\n";
  for (std::size_t size = 1; size < line.size(); ++size)
    CHECK(classifyTrailing(line.substr(0, size)) == TrailingBytes::kIncomplete);
  CHECK(classifyTrailing(line + "X-Requ") == TrailingBytes::kRequest);
  CHECK(classifyTrailing("GET /up HTTP/1.0\r\n") == TrailingBytes::kRequest);
  for (const char* rest : {"lo", "\r\n", "lo world", "POST\r\n", " POST /", "POST status", "POST /a\x01",
                           "POST /a b", "POST /a HTTP/1.1\n", "POST /a HTTP/2", "ABCDEFGH", "POST  /"})
    CHECK(classifyTrailing(rest) == TrailingBytes::kGarbage);
  CHECK(classifyTrailing("POST /" + std::string(kHeadLimit, 'a')) == TrailingBytes::kGarbage);
}

TEST_CASE("a head that is too long has the error status 414 for its request line and 431 for its headers") {
  for (const bool first : {true, false}) {
    HttpReader reader(HttpReader::Side::kRequest);
    reader.buffer() = (first ? "GET /" : "GET / HTTP/1.1\r\nX: ") + std::string(kHeadLimit, 'a');
    CHECK(reader.advance() == HttpReader::State::kBad);
    CHECK_EQ(reader.errorStatus(), first ? 414 : 431);
  }
}

TEST_CASE("an answer without a length ends with its connection") {
  HttpReader reader(HttpReader::Side::kAnswer);
  reader.buffer() = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nab";
  CHECK(reader.advance() == HttpReader::State::kMore);
  CHECK_EQ(reader.partial().status, 200);
  reader.buffer() += "c";
  CHECK(reader.advance() == HttpReader::State::kMore);
  CHECK(reader.finish() == HttpReader::State::kDone);
  CHECK_EQ(reader.take().body, "abc");
}

TEST_CASE("JSON is parsed strictly") {
  std::string error;
  const auto value = json::parse(R"( {"a":[1,-2.5e1,true,null,"\u00e9\ud83d\ude00\n"],"b":{}} )", error);
  REQUIRE(value);
  CHECK_EQ(value->find("a", json::Value::Type::kArray)->items[4].text, "\u00e9\U0001F600\n");
  for (const char* bad : {"", "{", "[1,]", "01", "1.", "\"\x01\"", "\"\\ud800\"", "{\"a\":1,\"a\":2}",
                          "[1] 2", "nul", "{a:1}", "\"\\x\""})
    CHECK_FALSE(json::parse(bad, error));
  CHECK_FALSE(json::parse(std::string(100, '['), error));
  CHECK_FALSE(json::parse("{\"a\":{\"b\":1,\"c\":[2],\"b\":3}}", error));
  CHECK(error.find("duplicate name 'b'") != std::string::npos);
  CHECK_FALSE(json::parse("[1,\n 2,, 3]", error));
  CHECK(error.find("line 2, column 4") != std::string::npos);
  CHECK_FALSE(json::parse("\"\xff\"", error));  // not UTF-8
  // Numbers keep their notation; a value after a nested one is added to the enclosing value.
  const auto order = json::parse(R"([[1.50,[]],{"x":[{}]},-0.0,12345678901234567890123])", error);
  REQUIRE(order);
  REQUIRE(order->items.size() == 4);
  CHECK_EQ(order->items[0].items[0].text, "1.50");
  CHECK_EQ(order->items[3].text, "12345678901234567890123");
  CHECK(order->items[1].find("x", json::Value::Type::kArray)->items.size() == 1);
  CHECK_EQ(json::quote("a\"\\\n"), "\"a\\\"\\\\\\n\"");
}

TEST_CASE("an endpoint's answer has the outcome that the protocol defines") {
  const auto outcome = [](int status, const char* name = "X", const char* value = "") {
    HttpMessage answer;
    answer.status = status;
    answer.headers.emplace_back(name, value);
    return readAnswer(answer);
  };
  CHECK((outcome(200).outcome == Outcome::kSuccess && outcome(200).completed));
  CHECK((outcome(500).outcome == Outcome::kFailure && !outcome(500).completed));
  CHECK((outcome(429, "Retry-After", "0.2501").outcome == Outcome::kRejected));
  CHECK_EQ(outcome(429, "Retry-After", "0.2501").retryAfterMs, 251);  // rounded up, so that no call is early
  CHECK_EQ(outcome(429, "Retry-After", "soon").retryAfterMs, 0);
  CHECK((outcome(503).outcome == Outcome::kRejected && outcome(503).retryAfterMs == 0));
  CHECK((outcome(503, "X-Over-Slots", "1").outcome == Outcome::kNotSent));
  CHECK((outcome(504).outcome == Outcome::kNotSent && !outcome(504).completed));
  CHECK((outcome(410).outcome == Outcome::kNotSent && outcome(410).completed));

  HttpMessage bulk;
  bulk.status = 200;
  bulk.headers.emplace_back("Retry-After", "1");
  bulk.body = R"([{"id":"a","state":"deferred"},{"id":"b","state":"expired"},{"id":"c","state":"no_more"},)"
              R"({"id":"d","state":"fault"}])";
  const auto ends = readBulkAnswer(
      bulk, {{"a", "", "", 0}, {"b", "", "", 0}, {"c", "", "", 0}, {"d", "", "", 0}, {"e", "", "", 0}});
  CHECK((ends[0].outcome == Outcome::kRejected && ends[0].retryAfterMs == 1000));
  CHECK((ends[1].outcome == Outcome::kNotSent && ends[1].completed));
  CHECK((ends[2].outcome == Outcome::kNotSent && !ends[2].completed));
  CHECK((ends[3].outcome == Outcome::kFailure && !ends[3].completed));
  CHECK(ends[4].outcome == Outcome::kFailure);  // missing in the answer, so it may have been executed
  CHECK_EQ(base64(std::string("a\0b\xff", 4)), "YQBi/w==");
  CHECK_EQ(base64("hello"), "aGVsbG8=");
}

TEST_CASE(
    "a wall clock set back during downtime extends no lifetime beyond its limit and no idempotency window") {
  PendingRequest pending;
  pending.deadlineWallMs = 1e12 + 5000;
  pending.ambiguousAttempts = {{"E1", 1, 1e12 - 300, 0}, {"E1", 1, 1e12, 1}};
  const double nowMs = 70, limitMs = 16000, dayMs = 86400000, newestMs = 1e12;
  const RequestEvent right = requestEventOf(pending, nowMs, {1e12 + 1000, newestMs, 0}, limitMs);
  CHECK_EQ(right.deadlineMs, nowMs + 4000);
  CHECK_EQ(right.ambiguousAttempts[0].sentMs, nowMs - 1300);
  const RequestEvent back = requestEventOf(pending, nowMs, {1e12 - dayMs, newestMs, 0}, limitMs);
  CHECK_EQ(back.deadlineMs, nowMs + limitMs);
  CHECK(back.ambiguousAttempts[0].sentMs < nowMs - dayMs);
  // Even a small step could make an expired idempotency window look open.
  const RequestEvent step = requestEventOf(pending, nowMs, {1e12 - 1, newestMs, 0}, limitMs);
  CHECK(step.ambiguousAttempts[0].sentMs < nowMs - dayMs);
  CHECK(step.ambiguousAttempts[1].sentMs < nowMs - dayMs);
  CHECK_EQ(step.deadlineMs, nowMs + 5001);
  CHECK(requestEventOf(pending, nowMs, {1e12 + dayMs, newestMs, 0}, limitMs).deadlineMs < nowMs);
  // A later time recorded for another request also shows that the clock was set back, so the attempts are
  // older than their times suggest.
  const RequestEvent other = requestEventOf(pending, nowMs, {1e12 + 1000, 1e12 + 1500, 0}, limitMs);
  CHECK(other.ambiguousAttempts[1].sentMs < nowMs - dayMs);
  // The clock is known to have been set back by 700 ms, although no recorded time is in the future.
  const RequestEvent known = requestEventOf(pending, nowMs, {1e12 + 1000, newestMs, 700}, limitMs);
  CHECK_EQ(known.ambiguousAttempts[1].sentMs, nowMs - 1700);
  CHECK_EQ(known.deadlineMs, nowMs + 4000);
  PendingTable table;
  CHECK_EQ(newestRecordedWallMs(table), 0);
  pending.acceptedWallMs = 1e12 - 400;
  table.put(pending);
  CHECK_EQ(newestRecordedWallMs(table), 1e12);
  pending.id = "taken only";
  pending.acceptedWallMs = 1e12 + 1500;
  pending.ambiguousAttempts.clear();
  table.put(pending);
  CHECK_EQ(newestRecordedWallMs(table), 1e12 + 1500);
  // An attempt whose record was lost.
  pending.ambiguousAttempts = {{"", RecordedAttempt::kLostZone, 0, RecordedAttempt::kLostAttempt}};
  CHECK(requestEventOf(pending, nowMs, {1e12, 1e12, 0}, limitMs).ambiguousAttempts[0].sentMs < nowMs - dayMs);
}
