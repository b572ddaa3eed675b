#include "entry/route_table.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>

namespace shallotport {

namespace {

route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  route created;
  created.name = name;
  created.host = host;
  created.prefix = prefix;
  created.timeout = std::chrono::milliseconds(1'000);
  created.services = {{service_id("a"), 1}};
  return created;
}

route_configuration MakeConfiguration() {
  route_configuration configuration;
  configuration.version = 3;
  configuration.services = {{service_id("a"), 10, 0}, {service_id("b"), 10, 8}};
  configuration.routes = {MakeRoute("short", "one.example", "/x/"),
                          MakeRoute("long", "one.example", "/x/y/"),
                          MakeRoute("other", "two.example", "/x/")};
  return configuration;
}

struct match_case {
  std::string host;
  std::string path;
  std::string route;  // Empty: none.
};

class route_match : public testing::TestWithParam<match_case> {};

TEST_P(route_match, FindsLongestPrefixOfHost) {
  const route_table table(MakeConfiguration());
  const route* found = table.Match(GetParam().host, GetParam().path);
  EXPECT_EQ(found == nullptr ? "" : found->name, GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    route_match,
    testing::Values(match_case{"one.example", "/x/1", "short"},
                    match_case{"one.example", "/x/y/1", "long"},
                    match_case{"one.example", "/x/y", "short"},
                    match_case{"ONE.example:80", "/x/y/", "long"},
                    match_case{"two.example", "/x/y/1", "other"},
                    match_case{"one.example", "/z/", ""},
                    match_case{"three.example", "/x/", ""}));

struct check_case {
  std::string name;
  std::function<void(route_configuration&)> invalidate;
};

class route_check : public testing::TestWithParam<check_case> {};

TEST_P(route_check, RejectsInvalidConfiguration) {
  route_configuration configuration = MakeConfiguration();
  EXPECT_TRUE(IsOk(CheckRoutes(configuration)));
  GetParam().invalidate(configuration);
  EXPECT_FALSE(IsOk(CheckRoutes(configuration)));
}

INSTANTIATE_TEST_SUITE_P(
    table,
    route_check,
    testing::Values(
        check_case{
            "unknown_service",
            [](auto& c) { c.routes[0].services[0].service = service_id("z"); }},
        check_case{"same_host_and_prefix",
                   [](auto& c) { c.routes[1].prefix = "/x/"; }},
        check_case{"same_host_in_other_case",
                   [](auto& c) { c.routes[2].host = "One.example"; }},
        check_case{"no_weight",
                   [](auto& c) { c.routes[0].services[0].weight = 0; }},
        check_case{"no_timeout",
                   [](auto& c) {
                     c.routes[0].timeout = std::chrono::milliseconds(0);
                   }},
        check_case{"prefix_without_final_slash",
                   [](auto& c) { c.routes[0].prefix = "/x"; }},
        check_case{"no_host", [](auto& c) { c.routes[0].host = ""; }}),
    [](const auto& info) { return info.param.name; });

TEST(route_table_test, DrawsServicesByWeight) {
  route split = MakeRoute("split", "h", "/");
  split.services = {{service_id("a"), 90}, {service_id("b"), 10}};
  random_source random(7);
  std::map<service_id, int> counts;
  for (int i = 0; i < 10'000; ++i) {
    ++counts[DrawService(split, random)];
  }
  EXPECT_NEAR(counts[service_id("a")], 9'000, 200);
}

}  // namespace

}  // namespace shallotport
