#include <gtest/gtest.h>

#include "base/digest.h"
#include "serving/caller_interface.h"
#include "serving/endpoint_interface.h"
#include "serving/operator_interface.h"
#include "serving/routing_duty.h"
#include "serving/serving_metrics.h"
#include "serving/state_registry.h"

namespace shallotport {
namespace {

configuration TwoFirms() {
  configuration settings;
  for (const char* name : {"firm-a", "firm-b"}) {
    account_configuration account;
    account.id = account_id(name);
    account.token_sha256 = Sha256Hex(std::string("token-") + name);
    settings.accounts.push_back(account);
  }
  service_configuration unlock;
  unlock.id = service_id("unlock");
  unlock.kind = service_kind::kPlain;
  unlock.is_idempotent = false;
  settings.services.push_back(unlock);
  service_configuration advice;
  advice.id = service_id("advice-a");
  advice.accounts = {account_id("firm-a")};
  settings.services.push_back(advice);
  SortById(settings);
  return settings;
}

// Knows one thing about every key.
class known_claims final : public online_claims {
 public:
  claim_decided Begin(const claim_subject&,
                      const endpoint_id&,
                      incarnation,
                      steady_time,
                      steady_time) override {
    return known;
  }
  claim_decided Lookup(const claim_subject&, steady_time) override {
    return known;
  }
  bool Finish(const claim_subject&, const endpoint_response&) override {
    return true;
  }
  void Release(const claim_subject&) override {}
  void Abandon(const claim_subject&) override {}

  claim_decided known;
};

class caller_interface_test : public ::testing::Test {
 protected:
  caller_interface_test() {
    services_.clock = &clock_;
    services_.peer_secret = "secret";
    services_.metrics = &metrics_;
    services_.claims = &claims_;
  }

  http_reply Send(std::string path,
                  std::string body,
                  std::vector<http_field> headers) {
    http_request request;
    request.method = "POST";
    request.path = std::move(path);
    request.body = std::move(body);
    request.headers = std::move(headers);
    return interface_.Handle(std::move(request));
  }

  system_clock_source clock_;
  serving_metrics metrics_;
  known_claims claims_;
  exchange_services services_;
  configuration_view configuration_;
  caller_interface interface_{{host_id("a1"), 1}, services_, configuration_};
};

TEST_F(caller_interface_test, RefusesAsNotRunBeforeAConfiguration) {
  const http_reply reply =
      Send("/v1/completions", "{}", {{"Authorization", "Bearer x"}});
  EXPECT_EQ(reply.status, 503);
  EXPECT_EQ(FindField(reply.headers, "X-Not-Run"), "1");
}

struct refusal_case {
  const char* name;
  const char* path;
  const char* body;
  std::vector<http_field> headers;
  int status;
  const char* part;
};

class caller_refusal_test : public caller_interface_test,
                            public ::testing::WithParamInterface<refusal_case> {
};

TEST_P(caller_refusal_test, AnswersWithTheRightKind) {
  configuration_.Update(1, TwoFirms());
  const refusal_case& given = GetParam();
  const http_reply reply = Send(given.path, given.body, given.headers);
  EXPECT_EQ(reply.status, given.status) << reply.body;
  EXPECT_NE(reply.body.find(given.part), std::string::npos) << reply.body;
  EXPECT_EQ(FindField(reply.headers, "X-Not-Run"), "1");
  EXPECT_TRUE(FindField(reply.headers, "X-Request-Id"));
}

const http_field kFirmA = {"Authorization", "Bearer token-firm-a"};
const http_field kFirmB = {"Authorization", "Bearer token-firm-b"};

INSTANTIATE_TEST_SUITE_P(
    Cases,
    caller_refusal_test,
    ::testing::Values(
        refusal_case{"NoToken", "/v1/completions", "{}", {}, 401, "Bearer"},
        refusal_case{"WrongToken",
                     "/v1/completions",
                     "{}",
                     {{"Authorization", "Bearer no"}},
                     401,
                     "unknown token"},
        refusal_case{"NoJson", "/v1/completions", "{", {kFirmA}, 400, "JSON"},
        refusal_case{"BadUtf8",
                     "/v1/completions",
                     "{\"model\":\"\xff\"}",
                     {kFirmA},
                     400,
                     "UTF-8"},
        refusal_case{"NoModel",
                     "/v1/completions",
                     "{}",
                     {kFirmA},
                     400,
                     "model: missing"},
        refusal_case{"BadStream",
                     "/v1/completions",
                     R"({"model":"advice-a","stream":1})",
                     {kFirmA},
                     400,
                     "stream"},
        refusal_case{"UnknownModel",
                     "/v1/completions",
                     R"({"model":"nope"})",
                     {kFirmA},
                     404,
                     "no service nope"},
        refusal_case{"AnotherFirmsModel",
                     "/v1/completions",
                     R"({"model":"advice-a"})",
                     {kFirmB},
                     404,
                     "no service advice-a"},
        refusal_case{"ModelAsPlainService",
                     "/v1/services/advice-a/x",
                     "",
                     {kFirmA},
                     404,
                     "no service"},
        refusal_case{"UnknownPath", "/v2", "{}", {kFirmA}, 404, "/v2"},
        refusal_case{"BadDeadline",
                     "/v1/completions",
                     R"({"model":"advice-a"})",
                     {kFirmA, {"X-Deadline-Ms", "-5"}},
                     400,
                     "X-Deadline-Ms"},
        refusal_case{"BadKey",
                     "/v1/completions",
                     R"({"model":"advice-a"})",
                     {kFirmA, {"Idempotency-Key", "a b"}},
                     400,
                     "Idempotency-Key"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(caller_interface_test, RefusesAsNotRunWhileDraining) {
  configuration_.Update(1, TwoFirms());
  interface_.BeginDrain();
  const http_reply reply =
      Send("/v1/completions", R"({"model":"advice-a"})", {kFirmA});
  EXPECT_EQ(reply.status, 503);
  EXPECT_NE(reply.body.find("\"run\":\"not_run\""), std::string::npos);
}

struct known_key_case {
  const char* name;
  claim_decided known;
  int status;
  const char* part;
};

class known_key_test : public caller_interface_test,
                       public ::testing::WithParamInterface<known_key_case> {};

// A host that takes nothing new must not call a key "not run" that has run.
TEST_P(known_key_test, IsNeverCalledNotRunWhenItMayHaveRun) {
  configuration_.Update(1, TwoFirms());
  claims_.known = GetParam().known;
  interface_.BeginDrain();
  const http_reply reply = Send("/v1/services/unlock/issue", "{}",
                                {kFirmA, {"Idempotency-Key", "k"}});
  EXPECT_EQ(reply.status, GetParam().status);
  EXPECT_NE(reply.body.find(GetParam().part), std::string::npos) << reply.body;
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    known_key_test,
    ::testing::Values(
        known_key_case{"Unclaimed", {}, 503, "\"run\":\"not_run\""},
        known_key_case{"Recorded",
                       {claim_decision::kRecorded,
                        {200, "application/json", "{\"token\":1}"},
                        {}},
                       200,
                       "{\"token\":1}"},
        known_key_case{"Unknown",
                       {claim_decision::kRefused,
                        {},
                        MakeError(error_kind::kOutcomeUnknown, "lost")},
                       504,
                       "\"run\":\"may_have_run\""},
        known_key_case{"NoQuorum",
                       {claim_decision::kRefused,
                        {},
                        MakeError(error_kind::kNoQuorum, "cut off")},
                       503,
                       "\"run\":\"may_have_run\""}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ConfigurationView, OnlyMovesUp) {
  configuration_view view;
  EXPECT_TRUE(view.Update(5, TwoFirms()));
  EXPECT_FALSE(view.Update(5, {}));
  EXPECT_FALSE(view.Update(4, {}));
  EXPECT_EQ(view.Current()->settings().accounts.size(), 2U);
}

struct announcement_case {
  const char* name;
  const char* body;
  const char* problem;
};

class announcement_test : public ::testing::TestWithParam<announcement_case> {};

TEST_P(announcement_test, NamesTheWrongMember) {
  const auto record = ParseAnnouncement(GetParam().body);
  ASSERT_FALSE(IsOk(record));
  EXPECT_NE(ErrorOf(record).detail.find(GetParam().problem), std::string::npos)
      << ErrorOf(record).detail;
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    announcement_test,
    ::testing::Values(
        announcement_case{"NoObject", "[]", "no JSON object"},
        announcement_case{"NoId", R"({})", "id: expected"},
        announcement_case{
            "BadAddress",
            R"({"id":"e","incarnation":1,"domain":"a","address":"e:1",
                "services":["s"],"load":{"sequence":1,"running":0,"queued":0,
                "slots":1}})",
            "address: expected IP:port"},
        announcement_case{"NoServices",
                          R"({"id":"e","incarnation":1,"domain":"a",
                "address":"127.0.0.1:1","services":[],"load":{}})",
                          "services: expected"},
        announcement_case{"NegativeLoad",
                          R"({"id":"e","incarnation":1,"domain":"a",
                "address":"127.0.0.1:1","services":["s"],"load":{"sequence":1,
                "running":-1,"queued":0,"slots":1}})",
                          "load.running: expected a whole number"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(EndpointInterface, TakesAGoodAnnouncementWithTheTokenOnly) {
  std::vector<endpoint_record> taken;
  const endpoint_interface endpoints("t", [&](const endpoint_record& record) {
    taken.push_back(record);
    return status(success{});
  });
  http_request request;
  request.method = "POST";
  request.path = "/v1/endpoints/announce";
  request.body =
      R"({"id":"e","incarnation":1,"domain":"a","address":"127.0.0.1:1",
          "services":["s"],"leaving":true,"load":{"sequence":9,"running":1,
          "queued":2,"slots":3}})";
  EXPECT_EQ(endpoints.Handle(request).status, 401);
  request.headers = {{"Authorization", "Bearer t"}};
  EXPECT_EQ(endpoints.Handle(request).status, 200);
  ASSERT_EQ(taken.size(), 1U);
  EXPECT_TRUE(taken[0].is_leaving);
  EXPECT_EQ(taken[0].load.sequence, 9U);
}

TEST(OperatorInterface, OpenPathsNeedNoTokenTheRestDoes) {
  const state_registry state;
  const serving_metrics metrics;
  status ready = MakeError(error_kind::kNoCapacity, "not yet");
  operator_interface operators("t", state, metrics, [&] { return ready; });
  http_request request;
  request.method = "GET";
  request.path = "/readyz";
  EXPECT_EQ(operators.Handle(request).status, 503);
  ready = success{};
  EXPECT_EQ(operators.Handle(request).status, 200);
  request.path = "/debug/state";
  EXPECT_EQ(operators.Handle(request).status, 401);
  request.headers = {{"Authorization", "Bearer t"}};
  EXPECT_EQ(operators.Handle(request).status, 200);
}

TEST(RouteTable, CapturesSegmentsAndTheRest) {
  route_table routes;
  routes.Add(
      "GET", "/v1/jobs/*/**", [](const http_request&, path_captures captures) {
        return MakeJsonReply(
            200, std::string(captures[0]) + "|" + std::string(captures[1]));
      });
  http_request request;
  request.method = "GET";
  request.path = "/v1/jobs/7/a/b";
  EXPECT_EQ(routes.Handle(request).body, "7|a/b");
  request.path = "/v1/jobs/7";
  EXPECT_EQ(routes.Handle(request).body, "7|");
  request.method = "POST";
  EXPECT_EQ(routes.Handle(request).status, 404);
  request.method = "GET";
  request.path = "/v1/jobs";
  EXPECT_EQ(routes.Handle(request).status, 404);
}

}  // namespace
}  // namespace shallotport
