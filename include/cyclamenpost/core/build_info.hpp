#pragma once

#include <string_view>

namespace cyclamenpost {

/// Digest of the sources from which the library was built, in hexadecimal. It tells builds of the
/// same version apart; `scripts/which_build` finds its commit.
auto build_digest() -> std::string_view;

} // namespace cyclamenpost
