// The fields of the module's settings for cereal. A field that is added to Settings and not here would decide
// without being compared: the size is checked, so that whoever adds one comes by.
#pragma once

#include "journal/archive.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

static_assert(sizeof(void*) != 8 || sizeof(ClassSettings) == 112, "a field of ClassSettings to be compared?");
static_assert(sizeof(void*) != 8 || sizeof(Settings) == 256, "a field of Settings to be compared?");

template <typename Archive>
void serialize(Archive& ar, ClassSettings& c) {
  ar(c.targetMs, c.hardLimitMs, c.aimStretch, c.worth, c.lateWorth, c.memorySpanMs, c.repeat, c.group,
     c.fifoByKey, c.allowedZones, c.allowedKinds);
}
template <typename Archive>
void serialize(Archive& ar, Settings& s) {
  ar(s.seed, s.me, s.balancers, s.zone, s.resolutionMs, s.classes, s.askForList, s.fade, s.ratings,
     s.callSlots, s.maxOpen, s.sendCap, s.maxRetryAfterMs, s.connectTimeoutMs, s.connIdleMs, s.mayCancel,
     s.kindApart, s.kindBatch, s.zoneFees, s.crossZonePrice, s.askWithinMs, s.coldShare, s.coldMs,
     s.overloadFactor, s.fallMs, s.settleAfterDoubtMs);
}

}  // namespace myrtleloft
