#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace cyclamenpost::testing {

/// Checks a property with a fixed seed, so that a failure is the same in every run.
template <typename Property>
auto seeded_check(std::uint64_t seed, int successes, Property&& property) -> void
{
    auto params = rc::detail::TestParams{};
    params.seed = seed;
    params.maxSuccess = successes;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property),
                                                  rc::detail::TestMetadata{}, params);
    auto message = std::ostringstream{};
    rc::detail::printResultMessage(result, message);
    INFO(message.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

} // namespace cyclamenpost::testing
