#include "control/configuration_client.h"

#include "base/codec.h"
#include "consensus/replicated_log.h"

namespace shallotport {
namespace {

template <typename Reply>
result<Reply> Ask(replicated_log& log,
                  configuration_query_kind kind,
                  uint64_t argument,
                  steady_time deadline) {
  const auto reply =
      log.Query(replicated_slice::kConfiguration,
                Encode(configuration_query{kind, argument}), deadline);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return Decode<Reply>(ValueOf(reply));
}

}  // namespace

result<change_outcome> configuration_client::Apply(
    const configuration_change& change,
    steady_time deadline) {
  const auto reply =
      log_.Propose(replicated_slice::kConfiguration, Encode(change), deadline);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return Decode<change_outcome>(ValueOf(reply));
}

result<configuration_in_force> configuration_client::Current(
    steady_time deadline) {
  return Ask<configuration_in_force>(log_, configuration_query_kind::kCurrent,
                                     0, deadline);
}

result<configuration_delta> configuration_client::Since(log_index revision,
                                                        steady_time deadline) {
  return Ask<configuration_delta>(log_, configuration_query_kind::kSince,
                                  revision, deadline);
}

result<std::vector<change_record>> configuration_client::History(
    uint64_t limit,
    steady_time deadline) {
  return Ask<std::vector<change_record>>(
      log_, configuration_query_kind::kHistory, limit, deadline);
}

result<std::string> configuration_client::TextOf(log_index revision,
                                                 steady_time deadline) {
  auto found = Ask<configuration_text>(log_, configuration_query_kind::kText,
                                       revision, deadline);
  if (!IsOk(found)) {
    return ErrorOf(found);
  }
  if (!ValueOf(found).is_found) {
    return MakeError(error_kind::kNotFound,
                     "the history no longer holds this revision");
  }
  return std::move(ValueOf(found).text);
}

}  // namespace shallotport
