// What an earlier process took on, as the decision module is told of it: wall times become times on its own
// clock.
//
//   const WallClock wall{clock.wallMs(), newestWallMs(found.owed), membership.wallSetBackMs()};
//   const MessageEvent event = eventOf(owed, loop.nowMs(), wall, classOf(owed).hardLimitMs);
//
// No I/O, no state; safe for several threads. O(doubts).
#pragma once

#include "journal/owed_table.h"
#include "journal/records.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

// What the wall clock shows, the newest time that the earlier processes recorded of any request (0: none),
// and by how much it is known to have been set back since some time before. All in milliseconds.
struct WallClock {
  double nowMs = 0, newestMs = 0, setBackMs = 0;
};

// The latest time, in milliseconds of the wall clock, at which any of these was taken on or sent; 0: none.
// O(requests and doubts).
double newestWallMs(const OwedTable& owed);

// All in milliseconds; `hardLimitMs` is the longest that any request of its class is held.
//
// The wall clock may have been set between the two processes. Set back, it would make the time left longer:
// none gets more than its class has. And it would make attempts look younger than they are, and open windows
// that are over: by what it is known to have been set back they count as older, and where anything that was
// recorded seems to be to come, by however little, all count as long past, so that no keyed request is
// repeated. Where neither shows, with no kept list or in another run of the machine, a step back by less than
// the time since the newest record cannot be told from none. Set forward, everything is older: that errs to
// the safe side.
MessageEvent eventOf(const OwedRequest& owed, double nowMs, const WallClock& wall, double hardLimitMs);

}  // namespace myrtleloft
