#include "poison/request_traits.h"

#include <gtest/gtest.h>

#include <string>

#include "eventio/http_types.h"

namespace shallotport {

namespace {

inbound_request Request() {
  inbound_request request;
  request.method = "POST";
  request.target = "/chat/1?x=2";
  request.headers.Add("Host", "a.example");
  request.headers.Add("Authorization", "Bearer t");
  request.headers.Add("X-Request-Id", "r1");
  request.headers.Add("Deadline", "5000");
  request.headers.Add("Parts", "1f:20,2a:30");
  request.headers.Add("Content-Length", "4");
  request.body = "body";
  return request;
}

void Replace(inbound_request& request,
             std::string_view name,
             std::string_view value) {
  request.headers.Remove(name);
  request.headers.Add(name, value);
}

struct digest_case {
  std::string name;
  void (*change)(inbound_request& request);
  bool is_same;
};

class digests : public testing::TestWithParam<digest_case> {};

TEST_P(digests, NameWhatACallerSendsAgain) {
  inbound_request changed = Request();
  GetParam().change(changed);
  EXPECT_EQ(DigestOf(changed, "Parts") == DigestOf(Request(), "Parts"),
            GetParam().is_same);
  EXPECT_NE(DigestOf(changed, "Parts"), 0u);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    digests,
    testing::Values(
        digest_case{"other_id_and_time_limit",
                    [](inbound_request& each) {
                      Replace(each, "X-Request-Id", "r2");
                      Replace(each, "Deadline", "417");
                    },
                    true},
        digest_case{"resumed",
                    [](inbound_request& each) {
                      each.headers.Add("Last-Event-Id", "7");
                    },
                    true},
        digest_case{"chunked_in_another_order",
                    [](inbound_request& each) {
                      each.headers.Remove("Content-Length");
                      Replace(each, "Host", "a.example");
                      each.headers.Add("Transfer-Encoding", "chunked");
                    },
                    true},
        digest_case{"other_method",
                    [](inbound_request& each) { each.method = "PUT"; }, false},
        digest_case{"other_path",
                    [](inbound_request& each) { each.target = "/chat/2?x=2"; },
                    false},
        digest_case{"other_query",
                    [](inbound_request& each) { each.target = "/chat/1?x=3"; },
                    false},
        digest_case{
            "other_host",
            [](inbound_request& each) { Replace(each, "Host", "b.example"); },
            false},
        digest_case{"other_caller",
                    [](inbound_request& each) {
                      Replace(each, "Authorization", "Bearer u");
                    },
                    false},
        digest_case{
            "no_caller",
            [](inbound_request& each) { each.headers.Remove("Authorization"); },
            false},
        digest_case{"other_prompt",
                    [](inbound_request& each) {
                      Replace(each, "Parts", "1f:20,2b:30");
                    },
                    false},
        digest_case{"other_body",
                    [](inbound_request& each) { each.body = "bodz"; }, false},
        digest_case{"no_body", [](inbound_request& each) { each.body.clear(); },
                    false}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
