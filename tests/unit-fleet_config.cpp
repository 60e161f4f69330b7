#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "cyclamenpost/configuration/fleet_config.hpp"
#include "property.hpp"

using namespace cyclamenpost;

namespace {

const std::string valid_text = R"([fleet]
name = "derwent"
load_multiple = 1.25
zones_out = []
[[service]]
name = "drafts"
kind = "model"
models = ["quote-7b"]
depends_on = []
cold_limit = 1
[[service]]
name = "orders"
kind = "application"
repeatable_methods = ["GET", "HEAD"]
depends_on = ["drafts"]
[[service]]
name = "invoices"
kind = "application"
depends_on = ["orders"]
[[target]]
name = "engine-a1"
service = "drafts"
zone = "a"
address = "127.0.0.1:9001"
checks_fencing = true
[[organisation]]
name = "label-one"
weight = 2
max_concurrent = 40
)";

auto replaced(std::string_view from, std::string_view to) -> std::string
{
    auto text = valid_text;
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

auto parsed(const std::string& text) -> fleet_config
{
    auto config = fleet_config{};
    const auto read = [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(config, parse_fleet_config(text));
        return {};
    };
    REQUIRE(try_or(read, [](const error& failure) { MESSAGE(describe(failure)); }));
    return config;
}

struct rejected_text {
    std::string_view from;
    std::string_view to;
    error_id id;
    std::size_t line;
    std::size_t column;
    std::string_view hint;
};

} // namespace

TEST_CASE("a valid text is parsed into the structs")
{
    const auto config = parsed(valid_text);
    CHECK(config.fleet.name == "derwent");
    CHECK(config.fleet.load_multiple == 1.25);
    REQUIRE(config.services.size() == 3);
    CHECK(config.services[0].kind == service_kind::model);
    CHECK(config.services[1].depends_on == std::vector<std::string>{"drafts"});
    CHECK(may_repeat(config.services[1], "GET"));
    CHECK(!may_repeat(config.services[1], "POST"));
    CHECK(targets_of(config, "drafts").at(0)->checks_fencing);
    CHECK(organisation_or_default(config, "label-one").max_concurrent == 40);
    CHECK(organisation_or_default(config, "other").weight == 1);
    CHECK(service_of_model(config, "quote-7b") == service_by_name(config, "drafts"));
    CHECK(service_by_name(config, "none") == nullptr);
}

TEST_CASE("an invalid text is rejected with line, column and a suggested correction")
{
    using enum error_id;
    const auto cases = std::vector<rejected_text>{
        {"name = \"derwent\"", "name = derwent", text_syntax, 2, 8, "TOML"},
        {"cold_limit", "cold_limmit", text_unknown_key, 10, 1, "cold_limit"},
        {"[[organisation]]", "[[organization]]", text_unknown_key, 26, 3, "organisation"},
        {"service = \"drafts\"", "service = \"draft\"", text_unknown_name, 22, 11, "drafts"},
        {"[\"drafts\"]", "[\"orders\", \"darfts\"]", text_unknown_name, 15, 25, "drafts"},
        {"zones_out = []", "zones_out = [\"a\", \"b\"]", text_unknown_name, 4, 19, "known: a"},
        {"address", "models = [\"quote-8b\"]\naddress", text_unknown_name, 24, 11, "quote-7b"},
        {"\"GET\", ", "\"GTE\", ", text_unknown_name, 14, 23, "GET"},
        {"name = \"orders\"", "name = \"drafts\"", text_duplicate_name, 12, 8, "rename"},
        {"depends_on = []", "depends_on = [\"invoices\"]", text_dependency_cycle, 9, 15, "remove"},
        {"[[organisation]]", "[\x01organisation]", text_syntax, 26, 2, "TOML"},
        {"1.25", "1.0", text_value_out_of_range, 3, 17, "1.01 to 10"},
        {"1.25", "nan", text_value_out_of_range, 3, 17, "1.01 to 10"},
        {"weight = 2", "weight = 0", text_value_out_of_range, 28, 10, "1 to 1000"},
        {"127.0.0.1:9001", "engine:9001", text_value_out_of_range, 24, 11, "IP address"},
        {"\"model\"", "\"modell\"", text_value_out_of_range, 7, 8, "\"model\""},
        {"models = [\"quote-7b\"]\n", "", text_missing_key, 5, 1, "models"},
        {"zone = \"a\"\n", "", text_missing_key, 20, 1, "zone"},
        {"= true", "= \"yes\"", text_wrong_type, 25, 18, "true or false"},
        {"= 40", "= 40.5", text_wrong_type, 29, 18, "whole number"},
        {"repeatable_methods", "repeatable = true\nrepeatable_methods", text_value_out_of_range, 15,
         22, "or only the list"},
    };
    for (const auto& rejected : cases) {
        CAPTURE(rejected.to);
        const auto problems = check_fleet_config(replaced(rejected.from, rejected.to));
        const auto found = std::find_if(problems.begin(), problems.end(),
                                        [&](const auto& each) { return each.id == rejected.id; });
        REQUIRE(found != problems.end());
        CHECK(found->line == rejected.line);
        CHECK(found->column == rejected.column);
        CHECK_MESSAGE(found->hint.find(rejected.hint) != std::string::npos, describe(*found));
    }
}

TEST_CASE("all problems of a text are listed, in the order of their lines")
{
    const auto problems = check_fleet_config(replaced("1.25", "0.5") + "weight = 3\n[[target]]\n");
    CHECK(problems.size() == 1);
    const auto more = check_fleet_config(replaced("1.25", "0.5") + "color = 3\n[[target]]\n");
    REQUIRE(more.size() == 6);
    CHECK(more.front().line == 3);
    CHECK(more.back().line == 31);
}

TEST_CASE("zones that cannot be checked are rejected instead of staying in service unnoticed")
{
    CHECK(check_fleet_config("[fleet]\nname = \"f\"\nzones_out = [\"a\"]\n").size() == 1);
    CHECK(check_fleet_config("[fleet]\nname = \"f\"\nzones = [\"a\"]\nzones_out = [\"a\"]\n")
              .empty());
}

TEST_CASE("a text over the size limit is rejected before it is parsed")
{
    const auto problems = check_fleet_config(std::string(fleet_text_max_bytes + 1, '#'));
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].id == error_id::text_too_large);
    CHECK(
        check_fleet_config(valid_text + std::string(fleet_text_max_bytes - valid_text.size(), '#'))
            .empty());
}

TEST_CASE("a text that is wrong throughout yields a bounded list of problems")
{
    auto text = valid_text;
    for (auto i = 0; i < 30000; ++i) {
        text += "key" + std::to_string(i) + " = 1\n";
    }
    CHECK(check_fleet_config(text).size() == max_text_problems);
}

TEST_CASE("services that depend on one without a live target are unusable, the others are not")
{
    const auto config = parsed(valid_text);
    CHECK(unusable_services(config, {"drafts"}) ==
          std::vector<std::string>{"drafts", "orders", "invoices"});
    CHECK(unusable_services(config, {"orders"}) == std::vector<std::string>{"orders", "invoices"});
    CHECK(unusable_services(config, {}).empty());
}

TEST_CASE("a diff names each change once and nothing else")
{
    const auto before = parsed(valid_text);
    CHECK(diff(before, before).empty());
    const auto after = parsed(replaced("zones_out = []", "zones_out = [\"a\"]"));
    CHECK(diff(before, after) ==
          std::vector<std::string>{"Zone a is taken out of service: it receives no new work."});
    CHECK(diff(after, before).at(0).find("Zone a returns") == 0);
    const auto heavier = parsed(replaced("weight = 2", "weight = 3"));
    CHECK(diff(before, heavier).at(0) == "Organisation label-one: the weight changes from 2 to 3.");
    const auto renamed = parsed(replaced("label-one", "label-two"));
    CHECK(diff(before, renamed).size() == 2);
}

TEST_CASE("a text with random bytes either parses or has a problem, and never throws")
{
    check_property([](const std::vector<char>& random_bytes, std::size_t where) {
        auto text = valid_text;
        text.insert(where % text.size(), std::string(random_bytes.begin(), random_bytes.end()));
        const auto problems = check_fleet_config(text);
        auto accepted = try_or([&] { return parse_fleet_config(text); }, [](const error&) {});
        RC_ASSERT(accepted == problems.empty());
        for (const auto& problem : problems) {
            RC_ASSERT(problem.line > 0U);
            RC_ASSERT(!problem.message.empty());
        }
    });
}
