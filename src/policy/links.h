// Idle connections: which are put to use, and which given back.
#pragma once

#include "state.h"

namespace myrtleloft::policy {

double takeLink(Book& b, Route& r);  // how long it was idle; -1: the call opens a new one
void linkIdle(Book& b, Route& r);
bool staleLink(Book& b, Route& r, const Call& call, Outcome outcome);  // whether the link was at fault

}  // namespace myrtleloft::policy
