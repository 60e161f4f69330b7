#pragma once

// The one place that includes toml++: a program that holds it with two sets of options breaks the
// one-definition rule, and its parsers crash.
//
// toml++ 3.3 asserts that a key follows "[" although it reports other characters as an error right
// afterwards; with the assertion a misspelt header would end the process.
#define TOML_ASSERT(expression) static_assert(true)
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>
