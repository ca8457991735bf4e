// Bulk calls, which carry several requests.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <string>

#include "tests/exchange/exchange_site.h"

using namespace myrtleloft;
using myrtleloft::testing::Site;

TEST_CASE("the body of a bulk call stays below the limit even if JSON escapes lengthen ids and keys") {
  Site site(false, 10);
  for (int i = 0; i < 10; ++i)
    site.submit(std::string(127, '"') + std::to_string(i), 10e3, std::string(4720, 'b'));
  site.advance(50);
  std::size_t longest = 0;
  int calls = 0;
  int errorNumber = 0;
  for (Fd fd = acceptFrom(site.endpoint, errorNumber); fd; fd = acceptFrom(site.endpoint, errorNumber)) {
    ++calls;
    std::string bytes;
    for (int i = 0; i < 50; ++i) {
      readSome(fd, bytes);
      site.advance(5);
    }
    const std::size_t header = bytes.find("Content-Length: ");
    REQUIRE(header != bytes.npos);
    longest = std::max(longest, static_cast<std::size_t>(std::atoll(bytes.c_str() + header + 16)));
  }
  CHECK(calls >= 1);
  CHECK(longest > 40000);
  CHECK(longest <= kBodyLimit);
}
