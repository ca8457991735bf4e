// The settings of a small site, as its platform would give them: two zones, two kinds, three classes.
//
//   std::string settings = kSiteSettings;
//   replaceAll(settings, "\"callSlots\":7", "\"callSlots\":12");
#pragma once

#include <string>

namespace myrtleloft::lab {

inline constexpr const char* kSiteSettings =
    R"({"azs":["norte","sur"],"balancers":1,"me":0,"machineTypes":["large","other"],"membershipMode":"push",)"
    R"("resolutionMs":5.0,"weights":"rough","tenants":[{"name":"univ-costa"},{"name":"liceo-puerto"}],)"
    R"("reporting":{"columns":[],"source":"none"},"familyInfo":{"callSlots":7,"fades":"halves",)"
    R"("kindApart":[true,true],"kindBatch":[10,1],"carriage":[0.0,0.03]},)"
    R"("guarantees":{"coldMs":11000.0,"coldShare":0.14,"drainGraceMs":2000.0,"fallMs":2000.0,)"
    R"("overloadFactor":2.5,"answerSlackMs":20.0},"limits":{"cancel":true,"connIdleMs":10000.0,)"
    R"("connectTimeoutMs":1500.0,"maxOpen":112,"maxRetryAfterMs":3000.0,"probes":true,"retryAfter":true,)"
    R"("secondCopies":false,"sendCap":12},"classes":[)"
    R"({"name":"status-update","targetMs":2000.0,"hardLimitMs":16000.0,"worth":1.0,"lateWorth":0.5,)"
    R"("repeat":"repeatable","group":"all","memorySpanMs":5000.0},)"
    R"({"name":"caption-order","targetMs":2000.0,"hardLimitMs":28000.0,"worth":2.0,"lateWorth":0.4,)"
    R"("repeat":"by_key","group":"all","memorySpanMs":15000.0},)"
    R"({"name":"billing-charge","targetMs":4000.0,"hardLimitMs":28000.0,"worth":5.0,"lateWorth":0.5,)"
    R"("repeat":"once","group":"all","memorySpanMs":5000.0}]})";

inline void replaceAll(std::string& text, const std::string& what, const std::string& with) {
  for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + with.size()))
    text.replace(at, what.size(), with);
}

}  // namespace myrtleloft::lab
