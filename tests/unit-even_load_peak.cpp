#include <doctest/doctest.h>

#include "spread_model.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::spread_model;

// Guards against one target that is much busier than the others in some second, although no request
// waits for it yet.
TEST_CASE("even_load_peak: the busiest target is within 10% of two fresh choices")
{
    for (const auto& fleet : {std::pair{9U, 12U}, {67U, 60U}, {195U, 100U}, {390U, 120U}}) {
        const auto figures = play_all(fleet_of(fleet.first, fleet.second, 500ms));
        INFO(fleet.first, " instances\n", figures.text);
        CHECK(figures.by.at(policy::even).busiest <=
              1.1 * figures.by.at(policy::two_fresh).busiest);
    }
}
