// The chain of a destination's routes, and the order of its messages.
#pragma once

#include <tuple>

#include "state.h"

namespace myrtleloft::policy {

// Routes with room: sound before doubtful, then by calls out, price and own turn.
using Chain = std::vector<std::tuple<bool, double, double, std::size_t, Route*>>;
Chain chainOf(Book& b, const Destination& d);
double price(const Book& b, const Route& r);
double doubtCap(const Book& b);                                    // calls out at doubtful scopes
Route* pick(const Book& b, const Message& m, const Chain& chain);  // null: none of them may have it now

// By what it loses by waiting, most first, then its aim.
using Next = std::pair<std::pair<double, double>, Message*>;
std::vector<Next> inOrder(Book& b, const Destination& d);

}  // namespace myrtleloft::policy
