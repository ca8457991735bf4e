// Prepares requests that an earlier process accepted for the decision module: converts their wall-clock times
// to times on the module's clock, and compares the retry rules of their class at that time with the current
// ones.
//
//   const WallClock wall{journal.nowMs(), newestRecordedWallMs(found.pending), directory.wallSetBackMs()};
//   if (!mayContinue(pending, request.permission, settings, wall)) ...   // complete it as failed
//   const RequestEvent event = requestEventOf(pending, loop.nowMs(), wall, maxLifetimeMs);
//
// No I/O and no state; thread-safe. O(ambiguous attempts).
#pragma once

#include <optional>

#include "journal/name_table.h"
#include "journal/pending_table.h"
#include "journal/records.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

// All in milliseconds.
struct WallClock {
  double nowMs = 0;
  double newestMs = 0;  // the newest time that earlier processes recorded for any request; 0 if there is none
  double setBackMs = 0;  // by how much the wall clock is known to have been set back before this start
};

// Returns the latest wall-clock time in milliseconds at which a request was accepted or sent, among those
// whose times are not known by the machine's clock; 0 if there is none. O(requests and ambiguous attempts).
double newestRecordedWallMs(const PendingTable& table);

// Returns the request event for the decision module. All times are in milliseconds; `maxLifetimeMs` is the
// limit of the request's class.
//
// If both processes ran between the same two boots of the machine, times are known by the machine's clock
// (RecoveredRequest::timesKnown). Deadlines and idempotency windows then continue as if the process had not
// ended, even if the wall clock was set; the caller passes a `wall` without newest time and without set-back.
//
// Otherwise (after a reboot, or with segments that record no machine clock) the wall clock may have been set
// between the two processes:
// - Set back, it would lengthen the time left; therefore no request gets more than `maxLifetimeMs`.
// - Set back, it would also make attempts look younger and reopen idempotency windows that have ended.
//   Attempts therefore count as older by the amount of the known set-back. If any recorded time lies in the
//   future, by however little, all attempts count as long past, so that no request with a key is retried.
// - A set-back by less than the time since the newest record cannot be detected if there is no cached
//   endpoint list or if the machine was rebooted.
// - Set forward, it makes everything look older, which is safe.
RequestEvent requestEventOf(const PendingRequest& pending, double nowMs, const WallClock& wall,
                            double maxLifetimeMs);

// Returns whether a recovered request may be passed to the decision module. If not, it cannot be sent and
// must be completed as failed.
//
// A request that was certainly not executed can be sent like a new one: it cannot continue only if its class
// or tenant is no longer in the settings. If the earlier rules were stricter in any way, it is marked as
// non-idempotent, because it was accepted under them.
// A request that may have been executed was sent under the earlier rules of its class (`permission`), and its
// retries are decided under the current rules. Neither alone is safe: its key is remembered as far as the
// earlier rules said, and the current rules may forbid a retry. It therefore continues only as far as both
// allow:
// - The earlier rules were stricter (non-idempotent; or idempotent with key where it is idempotent now; or a
//   deduplication scope of one zone where it is the whole destination now): the module would apply the looser
//   current rules, so the request does not continue.
// - The earlier rules were looser: the module applies the stricter current rules. A request without a key
//   does not continue if its class needs one now.
// - The idempotency window was shorter: the times of the attempts are moved back by the difference, here and
//   in each record that the journal rewrites, so that the window ends no later than under either rules. If
//   the clock was set back in between, that time is unknown, and the request does not continue.
// Requests recorded without names, or under unchanged rules, have no `permission`; only the current rules
// apply.
bool mayContinue(PendingRequest& pending, const std::optional<RetryPermission>& permission,
                 const Settings& settings, const WallClock& wall);

}  // namespace myrtleloft
