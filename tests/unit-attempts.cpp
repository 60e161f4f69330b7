#include <cstdlib>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "cyclamenpost/routing/attempts.hpp"

using namespace cyclamenpost;

namespace {

const auto fixed_seed = setenv("RC_PARAMS", "seed=4107", 0);

auto context_after(attempt_end end, bool repeatable) -> retry_context
{
    auto context = retry_context{};
    context.end = end;
    context.repeatable = repeatable;
    context.runs = end == attempt_end::lost || end == attempt_end::target_error ? 1 : 0;
    context.max_runs = 2;
    context.sends = 1;
    context.time_left = true;
    context.target_available = true;
    return context;
}

} // namespace

TEST_CASE("attempts: a non-repeatable request whose answer is lost is not retried and its outcome "
          "is unknown")
{
    CHECK(decide_next_step(context_after(attempt_end::lost, false)) == next_step::give_up);
}

TEST_CASE("attempts: a non-repeatable request that no target has run is retried")
{
    CHECK(decide_next_step(context_after(attempt_end::not_sent, false)) == next_step::retry);
    CHECK(decide_next_step(context_after(attempt_end::not_executed, false)) == next_step::retry);
}

TEST_CASE("attempts: without another target the caller learns that the request did not run")
{
    auto context = context_after(attempt_end::not_sent, false);
    context.target_available = false;
    CHECK(decide_next_step(context) == next_step::refuse);
    context = context_after(attempt_end::not_executed, false);
    context.target_available = false;
    CHECK(decide_next_step(context) == next_step::pass_answer);
}

TEST_CASE(
    "attempts: a target's word that it has not run a request does not speak for an earlier one")
{
    auto context = context_after(attempt_end::not_executed, true);
    context.runs = 1;
    context.target_available = false;
    CHECK(decide_next_step(context) == next_step::give_up);
}

TEST_CASE("attempts: a repeatable request runs at most at its route's number of targets")
{
    auto context = context_after(attempt_end::lost, true);
    CHECK(decide_next_step(context) == next_step::retry);
    context.runs = 2;
    CHECK(decide_next_step(context) == next_step::give_up);
    context = context_after(attempt_end::target_error, true);
    context.runs = 2;
    CHECK(decide_next_step(context) == next_step::pass_answer);
}

TEST_CASE("attempts: a request that may have run is never refused, nor retried unless repeatable")
{
    CHECK(rc::check("safety", [] {
        auto context = retry_context{};
        context.end = static_cast<attempt_end>(*rc::gen::inRange(0, 5));
        context.repeatable = *rc::gen::arbitrary<bool>();
        context.runs = *rc::gen::inRange(0U, 4U);
        context.max_runs = *rc::gen::inRange(1U, 4U);
        context.sends = *rc::gen::inRange(1U, 5U);
        context.time_left = *rc::gen::arbitrary<bool>();
        context.target_available = *rc::gen::arbitrary<bool>();
        if (context.end == attempt_end::lost || context.end == attempt_end::target_error) {
            context.runs = std::max(context.runs, 1U);
        }
        if (!context.repeatable && context.end != attempt_end::lost &&
            context.end != attempt_end::target_error) {
            context.runs = 0;
        }
        const auto next = decide_next_step(context);
        RC_ASSERT(!(next == next_step::refuse && context.runs > 0));
        RC_ASSERT(!(next == next_step::pass_answer && context.runs > 0 &&
                    context.end == attempt_end::not_executed));
        RC_ASSERT(!(next == next_step::retry && context.runs > 0 && !context.repeatable));
    }));
}

TEST_CASE("attempts: the retry delay is jittered and stays within its bounds")
{
    using std::chrono::milliseconds;
    CHECK(retry_after_delay(milliseconds{3000}, 0) == milliseconds{450});
    CHECK(retry_after_delay(milliseconds{3000}, 1) == milliseconds{900});
    CHECK(retry_after_delay(milliseconds{0}, 1) == milliseconds{50});
    CHECK(retry_after_delay(milliseconds{60'000}, 1) == milliseconds{2000});
}

// Guards against a booking that is sent twice: its connection was established, took the request and
// ended, and "not connected" was read as "not sent".
TEST_CASE("attempts: a request that was sent counts as lost once its connection is gone")
{
    auto attempt = silent_attempt{};
    attempt.sent = true;
    CHECK(decide_silence_step(attempt) == silence_step::end_lost);
}

TEST_CASE("attempts: a request that waits for its connection has not been sent")
{
    CHECK(decide_silence_step({}) == silence_step::end_unsent);
}

TEST_CASE("attempts: a silent target keeps a request that cannot be moved")
{
    auto attempt = silent_attempt{true, true, false};
    CHECK(decide_silence_step(attempt) == silence_step::keep_waiting);
    attempt.movable = true;
    CHECK(decide_silence_step(attempt) == silence_step::end_lost);
}
