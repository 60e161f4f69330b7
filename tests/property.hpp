#pragma once

#include <cstdlib>
#include <sstream>
#include <utility>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/detail/Configuration.h>

namespace cyclamenpost {

/// Checks a rapidcheck property with a fixed seed, so that every run tests the same cases.
template <typename Property>
auto check_property(Property&& property, int cases = 200) -> void
{
    // rapidcheck prints the seed of its configuration, not the one passed below
    setenv("RC_PARAMS", "seed=20261204", 1);
    auto parameters = rc::detail::TestParams{};
    parameters.seed = 20261204;
    parameters.maxSuccess = cases;
    const auto outcome = rc::detail::checkTestable(std::forward<Property>(property),
                                                   rc::detail::TestMetadata{}, parameters);
    auto message = std::ostringstream{};
    rc::detail::printResultMessage(outcome, message);
    CHECK_MESSAGE(outcome.template is<rc::detail::SuccessResult>(), message.str());
}

} // namespace cyclamenpost
