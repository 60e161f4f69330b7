#include "entry_fixture.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::test;

// Guards against a switch that does not reach the request path: requests one after another all went
// to the lowest id.
TEST_CASE_FIXTURE(fleet_fixture,
                  "even_forwarding: with the switch on, silent targets share requests")
{
    auto& first = add_target("app-1", "app");
    auto& second = add_target("app-2", "app");
    options.even_load = true;
    publish(1);
    add_instance();
    wait_ready();
    wait([&] { return instances[0]->view().targets.targets.size() == 2; });
    for (auto number = 0; number < 12; ++number) {
        CHECK(ask("/book/" + std::to_string(number)).head.status == 200);
    }
    CHECK(first.run_counts().size() + second.run_counts().size() == 12);
    CHECK(first.run_counts().size() >= 3);
    CHECK(second.run_counts().size() >= 3);
    const auto text = send_get(settings[0].metrics_address, "/metrics").body;
    CHECK(text.find("cyclamenpost_spread_choices_total{service=\"app\",differs=\"1\"}") !=
          std::string::npos);
    CHECK(text.find("cyclamenpost_busiest_to_mean{service=\"app\"}") != std::string::npos);
}
