// The pace of a scope: cut by refusals, grown by answers, and by turns while it is bounded.
#pragma once

#include "state.h"

namespace myrtleloft::policy {

double perS(const Book& b, const Rate& r, double tauMs);
bool busy(const Book& b, const Scope& s);  // a call or more in a cold span, when all was well
bool thin(const Book& b, const Scope& s);  // its own part is less than a call in a window, as among hundreds
bool bounded(const Book& b, const Scope& s);      // by a failure that it was told of
void newTurn(Book& b, Scope& s);                  // draws when the next call goes, while calls are rare
void cut(Book& b, Scope& s, double sentMs);       // a call sent then was refused, or failed
void grow(Book& b, Scope& s);                     // a call was answered
double ratePerS(Book& b, Scope& s);               // infinite where nothing paces
double freeMs(Book& b, Scope& s);                 // when it has room again for one call
void spend(Book& b, Scope& s, int had, int has);  // a call grew from so many messages to so many

}  // namespace myrtleloft::policy
