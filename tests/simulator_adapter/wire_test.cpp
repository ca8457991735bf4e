// Tests of the framing and the messages of the simulator's wire format.
#include <gtest/gtest.h>

#include <sstream>

#include "simulator_adapter/adapter.h"

namespace myrtleloft::wire {
namespace {

const char kUp[] =
    "BATCH\ttsMs=100.0\n"
    "UP\tforwarderId=forwarder_0\trandomSeed=7\tclasses.count=1\tclasses.0.repeat=repeatable\t"
    "classes.0.targetMs=2000.0\tclasses.0.hardLimitMs=20000.0\tfamilyInfo.callSlots=4\tsomethingNew=x\n"
    "SHEET\tref=0\trows=1\n"
    "TARGET\ttarget=10.0.0.1:5000\tzone=0\thw=0\tdest=5\tstageState=Running\n"
    "PEERS_KNOWN\tforwarderId=forwarder_0\tkind=disk\tref=0\tseqNo=1\n"
    "EOF_BATCH\n";
const char kQuery[] =
    "QUERY\tforwarderId=forwarder_0\tcorr=ae5ad0065d3a91c4\ttype=0\tnotAfterMs=20100.0\tdestination=5\n";

std::string play(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out;
  Adapter adapter;
  adapter.run(in, out);
  return out.str();
}

TEST(Wire, EmptyBatchIsAnsweredOk) { EXPECT_EQ(play("BATCH\ttsMs=1.5\nEOF_BATCH\n"), "OK\n"); }

TEST(Wire, MessageIsRouted) {
  const std::string out = play(std::string(kUp) + "BATCH\ttsMs=105.0\n" + kQuery + "EOF_BATCH\n");
  EXPECT_NE(out.find("ROUTE\tforwarderId=forwarder_0\tcorr=ae5ad0065d3a91c4\ttarget=10.0.0.1:5000\tcapMs="),
            std::string::npos)
      << out;
}

// Guards against a second execution outside the idempotency window: `reconnect` says that a relay that had
// the message has died, which may have sent it at any time since the client first handed it in.
TEST(Wire, AMessageOfADeadRelayIsRoutedInTheWindowOfItsFirstSendingOnly) {
  std::string up = kUp;
  up.replace(up.find("repeatable"), std::string("repeatable").size(),
             "by_key\tclasses.0.group=all\tclasses.0.memorySpanMs=5000.0");
  const auto routes = [&up](const std::string& notAfterMs, const std::string& reconnect) {
    const std::string out = play(up +
                                 "BATCH\ttsMs=105.0\nQUERY\tforwarderId=forwarder_0\tcorr=00000000000000aa\t"
                                 "type=0\tdestination=5\tnotAfterMs=" +
                                 notAfterMs + reconnect + "\nEOF_BATCH\n");
    return out.find("ROUTE") != std::string::npos;
  };
  EXPECT_TRUE(routes("19000.0", "\treconnect=1"));   // first handed in 1.1 s before
  EXPECT_FALSE(routes("14000.0", "\treconnect=1"));  // 6.1 s before
  EXPECT_TRUE(routes("14000.0", ""));
}

TEST(Wire, RetireFollowedByUpStartsEmpty) {
  const std::string again = std::string("RETIRE\tforwarderId=forwarder_0\n") +
                            "UP\tforwarderId=forwarder_0\trandomSeed=8\n" + kQuery;
  const std::string out = play(std::string(kUp) + "BATCH\ttsMs=105.0\n" + again + "EOF_BATCH\n");
  EXPECT_EQ(out.find("ROUTE"), std::string::npos) << "the new instance knows no endpoint: " << out;
}

TEST(Wire, ReusedSheetNumberIsResolvedInOrder) {
  const std::string text =
      "BATCH\ttsMs=1\nUP\tforwarderId=forwarder_0\trandomSeed=1\n"
      "SHEET\tref=3\trows=1\nTARGET\ttarget=10.0.0.1:1\tdest=5\n"
      "PEERS_KNOWN\tforwarderId=forwarder_0\tkind=disk\tref=3\tseqNo=1\n"
      "SHEET\tref=3\trows=1\nTARGET\ttarget=10.0.0.2:1\tdest=6\n"
      "QUERY\tforwarderId=forwarder_0\tcorr=00000000000000aa\ttype=0\tnotAfterMs=9000\tdestination=5\nEOF_"
      "BATCH\n";
  EXPECT_NE(play(text).find("target=10.0.0.1:1"), std::string::npos);
}

TEST(Wire, MalformedInputThrows) {
  const std::string up = kUp;
  for (const std::string& bad : {
           std::string("NONSENSE\n"),
           std::string("BATCH\n"),
           std::string("BATCH\ttsMs=abc\nEOF_BATCH\n"),
           std::string("BATCH\ttsMs=1\n"),
           std::string("BATCH\ttsMs=1\nHANGUP\tforwarderId=forwarder_9\tcorr=1\nEOF_BATCH\n"),
           std::string("BATCH\ttsMs=1\nHANGUP\tforwarderId\nEOF_BATCH\n"),
           std::string("BATCH\ttsMs=1\nSHEET\tref=99\trows=0\nEOF_BATCH\n"),
           std::string("BATCH\ttsMs=1\nSHEET\tref=0\trows=2\nEOF_BATCH\n"),
           up + "BATCH\ttsMs=101\nWHAT\tforwarderId=forwarder_0\nEOF_BATCH\n",
           up + "BATCH\ttsMs=101\nPEERS_KNOWN\tforwarderId=forwarder_0\tkind=diff\tref=4\tseqNo=2\nEOF_"
                "BATCH\n",
           up + "BATCH\ttsMs=101\nRETURNED\tforwarderId=forwarder_0\tcorr=1\ttry=0\ttarget=t\treason="
                "ODD\nEOF_BATCH\n",
       })
    EXPECT_THROW(play(bad), WireError) << bad;
}

TEST(Wire, UnknownNamesAreSkipped) {
  const std::string query = std::string(kQuery);
  EXPECT_NE(play(std::string(kUp) + "BATCH\ttsMs=105.0\n" + query.substr(0, query.size() - 1) +
                 "\tnewField=3\nEOF_BATCH\n")
                .find("ROUTE"),
            std::string::npos);
}

}  // namespace
}  // namespace myrtleloft::wire
