#include "cyclamenpost/core/error.hpp"

namespace cyclamenpost {

auto describe(const error& failure) -> std::string
{
    auto text = "[cyclamenpost." + std::to_string(static_cast<int>(failure.id)) + "] ";
    text += name_in(step_names, failure.failed_step);
    if (!failure.peer.empty()) {
        text += " " + failure.peer;
    }
    return text + ": " + failure.message;
}

} // namespace cyclamenpost
