#include "cyclamenpost/core/build_info.hpp"

#include "build_identity.hpp"

namespace cyclamenpost {

auto build_digest() -> std::string_view
{
    return CYCLAMENPOST_BUILD;
}

} // namespace cyclamenpost
