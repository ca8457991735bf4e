// A message by itself: the one place that says what its attempts so far still permit, and its worth.
#pragma once

#include "state.h"

namespace myrtleloft::policy {

bool harmless(const Message& m);                                 // to be sent again after any outcome
bool maySend(const Book& b, const Message& m, const Route& r);   // whether or not there is room now
bool mayRefuse(const Message& m);                                // its client may hand it in again
void doubt(const Book& b, Message& m, double sentMs, int zone);  // notes an attempt that may have run

double worthAt(const Book& b, const Message& m, double t);
double lossByWaiting(const Book& b, const Message& m, double queueMs);  // as long as the queue takes

}  // namespace myrtleloft::policy
