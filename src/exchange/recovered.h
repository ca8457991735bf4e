// What an earlier process took on, as the decision module is told of it: wall times become times on its own
// clock.
//
//   if (!mayGoOn(owed, request.allowed, settings, clock.wallMs())) ...   // its end is a verdict
//   const MessageEvent event = eventOf(owed, loop.nowMs(), clock.wallMs(), classOf(owed).hardLimitMs);
//
// No I/O, no state; safe for several threads. O(doubts).
#pragma once

#include <optional>

#include "journal/meanings.h"
#include "journal/records.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

// All in milliseconds; `hardLimitMs` is the longest that any request of its class is held.
//
// The wall clock may have been set between the two processes. Set back, it would make the time left longer:
// none gets more than its class has. And it would make an attempt look younger, or still to come; where one
// seems to be to come by more than a clock's own step, all of the request's count as long past, so that the
// window of a keyed request is closed. A step back by less than the age of each attempt cannot be told from
// none. Set forward, everything is older: that errs to the safe side.
// Whether what an earlier process took on may still be handed to the module. No: it cannot be sent, and ends
// as dead.
//
// What surely has not run is as good as new: only a class or tenant whose name the settings know no more
// cannot be sent. What may have run was sent under what its class meant then, `request.allowed`, and is
// decided on under what it means now. Neither alone is safe: the endpoints that dropped repeats are those of
// then, and what may not be repeated now was perhaps a matter of course. So it goes on only as far as both
// allow:
// - then stricter (once, or keyed where it may simply be repeated now; one zone's endpoints where all count
//   now): the module would go by the looser meaning of now, so it ends here;
// - then looser: the module goes by the stricter one of now; keyed, but handed in without a key, it ends;
// - keyed with a shorter window then: its doubts are moved back by the difference, here and in each record
//   that the journal writes of it anew, so that the module's window closes no later than both. With the clock
//   set back in between there is no telling when that is, so it ends.
// What was recorded without names, or under the same ones, has no other meaning than that of now.
bool mayGoOn(OwedRequest& owed, const std::optional<Allowed>& allowed, const Settings& now, double wallMs);

MessageEvent eventOf(const OwedRequest& owed, double nowMs, double wallMs, double hardLimitMs);

}  // namespace myrtleloft
