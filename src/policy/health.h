// Health: what outcomes say of a scope, and what bounds those that were told of a failure, for cold returns.
#pragma once

#include "state.h"

namespace myrtleloft::policy {

double usualOfAll(const Book& b);
double usual(const Book& b, const Route& r);   // time of its calls
bool silent(const Book& b, const Route& r);    // a call is out for long, and nothing came back since
bool doubtful(const Book& b, const Route& r);  // silent, or cold and not answered yet
void judge(Book& b, Route& r, const Call& call, Outcome outcome);
void mayPass(Book& b, const Destination& d);  // a message came: it may be one that passes a told scope

}  // namespace myrtleloft::policy
