#pragma once

// Include toml++ only through this header: translation units that include it with different options
// violate the one-definition rule, and the parser crashes.
//
// toml++ 3.3 asserts that a key follows "[" although it reports any other character as an error
// right afterwards. With the assertion enabled, a misspelt table header would end the process.
#define TOML_ASSERT(expression) static_assert(true)
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>
