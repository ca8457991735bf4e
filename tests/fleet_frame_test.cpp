// Tests of the frame format of links.
#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "fleet/frame.h"

using namespace myrtleloft;

namespace {

std::string payloadOf(std::mt19937_64& random, std::size_t size) {
  std::string payload(size, '\0');
  for (char& c : payload) c = static_cast<char>(random());
  return payload;
}

// Returns the fault that the reader reports for bytes received at once.
FrameFault faultOf(const std::string& bytes) {
  FrameReader reader;
  reader.buffer() += bytes;
  Frame frame;
  while (reader.next(frame) == FrameReader::State::kFrame) {
  }
  return reader.fault();
}

}  // namespace

TEST_CASE("frames come out as they went in, however they are parted") {
  std::mt19937_64 random(20261202);
  for (int round = 0; round < 20; ++round) {
    std::string bytes;
    std::vector<std::string> payloads;
    for (int i = 0; i < 6; ++i) {
      payloads.push_back(payloadOf(random, i == 5 ? kMaxFleetPayloadBytes : random() % 3000));
      bytes += frameOf(static_cast<FleetKind>(2 + i), payloads.back());
    }
    FrameReader reader;
    std::size_t got = 0;
    for (std::size_t at = 0; at < bytes.size();) {
      const std::size_t piece = std::min<std::size_t>(1 + random() % 9000, bytes.size() - at);
      reader.buffer().append(bytes, at, piece);
      at += piece;
      Frame frame;
      while (reader.next(frame) == FrameReader::State::kFrame) {
        REQUIRE(got < payloads.size());
        CHECK(frame.kind == static_cast<FleetKind>(2 + got));
        CHECK(frame.payload == payloads[got++]);
      }
      REQUIRE(reader.fault() == FrameFault::kNone);
    }
    CHECK_EQ(got, payloads.size());
    CHECK_FALSE(reader.midFrame());
  }
}

TEST_CASE("each spoilt bit of a frame is a fault, and never a frame") {
  const std::string good = frameOf(FleetKind::kPing, "are you there");
  CHECK(faultOf(good) == FrameFault::kNone);
  for (std::size_t bit = 0; bit < good.size() * 8; ++bit) {
    std::string bytes = good;
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ 1 << bit % 8);
    FrameReader reader;
    reader.buffer() += bytes;
    Frame frame;
    CHECK(reader.next(frame) == FrameReader::State::kBad);
    CHECK(reader.next(frame) == FrameReader::State::kBad);
  }
}

TEST_CASE("what cannot become a good frame is told apart, and not waited for") {
  CHECK(faultOf("GET / HTTP/1.1") == FrameFault::kNoFrame);
  CHECK(faultOf("MYR") == FrameFault::kNone);
  CHECK(faultOf("MYX") == FrameFault::kNoFrame);
  CHECK(faultOf(frameOf(FleetKind::kHello, "x", kFleetVersion + 1).substr(0, 5)) == FrameFault::kVersion);
  CHECK(faultOf(frameOf(FleetKind::kHello, std::string(kMaxFleetPayloadBytes + 1, 'x'))
                    .substr(0, kFrameHeaderBytes)) == FrameFault::kOversized);
  CHECK(faultOf(frameOf(static_cast<FleetKind>(0), "x")) == FrameFault::kUnknownKind);
  CHECK(faultOf(frameOf(static_cast<FleetKind>(13), "x")) == FrameFault::kUnknownKind);
  std::string spoilt = frameOf(FleetKind::kCopy, "x");
  spoilt.back() ^= 1;
  CHECK(faultOf(spoilt) == FrameFault::kChecksum);
  CHECK(faultOf(frameOf(FleetKind::kCopy, "good") + spoilt) == FrameFault::kChecksum);
}

TEST_CASE("an introduction: both ways, and what is none") {
  const PeerIntroduction peer{"vina", "n2", "norte", {77, 3}};
  const std::string bytes = encodeIntroduction(peer);
  PeerIntroduction read;
  REQUIRE(decodeIntroduction(bytes, read));
  CHECK((read.fleet == "vina" && read.name == "n2" && read.building == "norte" &&
         read.incarnation == peer.incarnation));
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK_FALSE(decodeIntroduction(bytes.substr(0, size), read));
  CHECK_FALSE(decodeIntroduction(bytes + "x", read));
  for (const PeerIntroduction& bad :
       {PeerIntroduction{"", "n2", "", {1, 1}}, PeerIntroduction{"v", "a\nb", "", {1, 1}},
        PeerIntroduction{"v", "n2", "", {0, 1}}, PeerIntroduction{"v", "n2", "", {1, 0}},
        PeerIntroduction{"v", std::string(65, 'n'), "", {1, 1}},
        PeerIntroduction{"v", "n", std::string(300, 'b'), {1, 1}}})
    CHECK_FALSE(decodeIntroduction(encodeIntroduction(bad), read));
}
