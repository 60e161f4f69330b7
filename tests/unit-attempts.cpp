#include <cstdlib>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "cyclamenpost/routing/attempts.hpp"

using namespace cyclamenpost;

namespace {

const auto fixed_seed = setenv("RC_PARAMS", "seed=4107", 0);

auto facts(attempt_end end, bool may_repeat) -> retry_context
{
    auto known = retry_context{};
    known.end = end;
    known.repeatable = may_repeat;
    known.runs = end == attempt_end::lost || end == attempt_end::target_error ? 1 : 0;
    known.max_runs = 2;
    known.sends = 1;
    known.time_left = true;
    known.target_available = true;
    return known;
}

} // namespace

TEST_CASE("attempts: a booking whose answer is lost is neither sent again nor called not run")
{
    CHECK(decide_next_step(facts(attempt_end::lost, false)) == next_step::give_up);
}

TEST_CASE("attempts: a booking that no target has run goes to another")
{
    CHECK(decide_next_step(facts(attempt_end::not_sent, false)) == next_step::retry);
    CHECK(decide_next_step(facts(attempt_end::not_executed, false)) == next_step::retry);
}

TEST_CASE("attempts: a refusal that nobody can mend is promised or passed on")
{
    auto known = facts(attempt_end::not_sent, false);
    known.target_available = false;
    CHECK(decide_next_step(known) == next_step::refuse);
    known = facts(attempt_end::not_executed, false);
    known.target_available = false;
    CHECK(decide_next_step(known) == next_step::pass_answer);
}

TEST_CASE("attempts: a repeatable request stops at its route's targets")
{
    auto known = facts(attempt_end::lost, true);
    CHECK(decide_next_step(known) == next_step::retry);
    known.runs = 2;
    CHECK(decide_next_step(known) == next_step::give_up);
    known = facts(attempt_end::target_error, true);
    known.runs = 2;
    CHECK(decide_next_step(known) == next_step::pass_answer);
}

TEST_CASE(
    "attempts: whatever happens, what may have run is never refused, nor sent again if unsafe")
{
    CHECK(rc::check("safety", [] {
        auto known = retry_context{};
        known.end = static_cast<attempt_end>(*rc::gen::inRange(0, 5));
        known.repeatable = *rc::gen::arbitrary<bool>();
        known.runs = *rc::gen::inRange(0U, 4U);
        known.max_runs = *rc::gen::inRange(1U, 4U);
        known.sends = *rc::gen::inRange(1U, 5U);
        known.time_left = *rc::gen::arbitrary<bool>();
        known.target_available = *rc::gen::arbitrary<bool>();
        if (known.end == attempt_end::lost || known.end == attempt_end::target_error) {
            known.runs = std::max(known.runs, 1U);
        }
        if (!known.repeatable && known.end != attempt_end::lost &&
            known.end != attempt_end::target_error) {
            known.runs = 0;
        }
        const auto next = decide_next_step(known);
        RC_ASSERT(!(next == next_step::refuse && known.runs > 0));
        RC_ASSERT(!(next == next_step::retry && known.runs > 0 && !known.repeatable));
    }));
}

TEST_CASE("attempts: callers refused together return spread out, within what they follow")
{
    using std::chrono::milliseconds;
    CHECK(retry_after_delay(milliseconds{3000}, 0) == milliseconds{450});
    CHECK(retry_after_delay(milliseconds{3000}, 1) == milliseconds{900});
    CHECK(retry_after_delay(milliseconds{0}, 1) == milliseconds{50});
    CHECK(retry_after_delay(milliseconds{60'000}, 1) == milliseconds{2000});
}
