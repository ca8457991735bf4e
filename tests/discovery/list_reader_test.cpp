// Discovery's answer read in slices, compared with the same bytes read at once by the JSON library.
#include "discovery/list_reader.h"

#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <random>
#include <string>

#include "json/json.h"
#include "tests/discovery/endpoint_directory_fixture.h"

using namespace myrtleloft;

namespace {

// Returns std::nullopt for an error, and sets `error` to its text, which is empty for a valid list.
std::optional<EndpointList> listOrError(ListResult result, std::string& error) {
  const auto* failure = std::get_if<ListError>(&result);
  error = failure ? describe(*failure) : "";
  if (failure) return std::nullopt;
  return std::move(std::get<EndpointList>(result));
}

std::optional<EndpointList> readInSlices(const std::string& body, std::size_t sliceBytes,
                                         std::string& error) {
  ListReader reader(body, kNames);
  while (!reader.step(sliceBytes)) {
  }
  return listOrError(reader.take(), error);
}

std::optional<EndpointList> readAtOnce(const std::string& body, std::string& error) {
  const auto value = json::parse(body, error);
  return value ? listOrError(readList(*value, kNames), error) : std::nullopt;
}

// The content of a list as text, in the order of its entries; "none" for an invalid list.
std::string textOf(const std::optional<EndpointList>& list) {
  if (!list) return "none";
  std::string text = std::to_string(list->revision) + (list->complete ? " all" : " change");
  for (const EndpointRecord& e : list->endpoints)
    text += " " + e.info.endpoint + "@" + e.address.text + "/" + std::to_string(e.info.destination) + "/" +
            std::to_string(static_cast<int>(e.info.state)) + "/" + std::to_string(e.info.zone) + "/" +
            std::to_string(e.info.kind) + "/" + std::to_string(e.info.rating);
  return text;
}

std::string entry(const std::string& uid, const std::string& extraMembers = "") {
  return R"({"uid":")" + uid +
         R"(","endpoint":"10.0.0.1:80","az":"sur","model":"large","pod_group":7,"state":"active")" +
         extraMembers + "}";
}

const std::string kValidList =
    "{ \"note\":{\"targets\":[1,{}]}, \"rev\":41,\"all\" : true,\"targets\" : [\n" + entry("a") + " ,\t" +
    entry("b\\\"]},{", R"(,"capacity_hint":2.5,"x":[[{}],"}]"])") +
    R"(,{"uid":"c","state":"left"}],"after":"\u00e9"})";

}  // namespace

TEST_CASE("a list read in slices of any size equals the list read at once") {
  std::string error;
  const std::string expected = textOf(readAtOnce(kValidList, error));
  REQUIRE(expected.find(" c@") != std::string::npos);
  for (std::size_t sliceBytes = 1; sliceBytes <= kValidList.size() + 1; ++sliceBytes)
    CHECK(textOf(readInSlices(kValidList, sliceBytes, error)) == expected);
  // The key "targets" written with escapes, an empty list, and a list whose entries come first.
  for (const std::string& body : {R"({"rev":1,"all":true,"t\u0061rgets":[)" + entry("a") + "]}",
                                  std::string(R"({"rev":1,"all":false,"targets":[ ]})"),
                                  R"({"targets":[)" + entry("a") + R"(],"all":true,"rev":9})"})
    CHECK(textOf(readInSlices(body, 7, error)) == textOf(readAtOnce(body, error)));
}

TEST_CASE("an invalid list is rejected as when it is read at once, with the reason") {
  const auto fault = [](const std::string& body) {
    std::string error;
    CHECK(textOf(readInSlices(body, 5, error)) == "none");
    return error;
  };
  const std::string begin = R"({"rev":1,"all":true,"targets":[)";
  CHECK(fault(begin + entry("a") + "," + entry("") + "]}") == "targets[1].uid");
  CHECK(fault(begin + entry("a") + entry("b") + "]}") ==
        "targets[1]: expected a comma or the end of the list before it");
  CHECK(fault(begin + entry("a") + ",]}") == "targets[1]: not an object");
  CHECK(fault(begin + "1]}") == "targets[0]: not an object");
  CHECK(fault(begin + entry("a")) == "targets[1]: the answer is truncated");
  CHECK(fault(begin + entry("a") + "]").find("parse error") != std::string::npos);
  CHECK(fault(begin + entry("a") + "]} x").find("parse error") != std::string::npos);
  CHECK(fault(begin + entry("a", R"(,"uid":"z")") + "]}") == "targets[0]: duplicate name 'uid'");
  CHECK(fault(begin + entry("a") + R"(],"targets":[]})") == "duplicate name 'targets'");
  CHECK(fault(begin + entry("a") + R"(],"t\u0061rgets":[]})") == "duplicate name 'targets'");
  CHECK(fault("{\"rev\":1,\"all\":true}") == "targets");
  CHECK(fault("") != "");
  const std::string longest(ListReader::kMaxEntryBytes, 'x');
  CHECK(fault(begin + entry("a") + "," + entry("b", ",\"y\":\"" + longest + "\"") + "]}") ==
        "targets[1]: too long");
}

TEST_CASE("of 40,000 mutated lists, exactly those are accepted that are when read at once") {
  std::mt19937_64 random(20261201);
  const std::array<std::string, 12> fragments = {
      "\"", "\\", "{", "}", "[", "]", ",", ":", " ", "\\u0074", "\"targets\":[", "\xff"};
  std::size_t accepted = 0, rejected = 0;
  for (int i = 0; i < 40000; ++i) {
    std::string body = kValidList;
    for (std::uint64_t changes = 1 + random() % 3; changes > 0; --changes) {
      const std::size_t at = random() % body.size();
      switch (random() % 4) {
        case 0:
          body[at] = static_cast<char>(random());
          break;
        case 1:
          body.erase(at, 1 + random() % 4);
          break;
        case 2:
          body.insert(at, fragments.at(random() % fragments.size()));
          break;
        default:
          body.insert(at, body.substr(random() % body.size(), random() % 60));
      }
      if (body.empty()) body = " ";
    }
    std::string error, errorAtOnce;
    const std::string actual = textOf(readInSlices(body, 1 + random() % 64, error)),
                      expected = textOf(readAtOnce(body, errorAtOnce));
    ++(expected == "none" ? rejected : accepted);
    CAPTURE(i);
    CAPTURE(body);
    REQUIRE(actual == expected);
    REQUIRE(error.empty() == (actual != "none"));
  }
  CHECK(accepted > 1000);
  CHECK(rejected > 20000);
}
