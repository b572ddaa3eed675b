#include "deploy/account_builder.h"

#include "base/digest.h"

namespace shallotport {

account_builder::account_builder(std::string_view id) {
  account_.id = account_id(std::string(id));
}

account_builder& account_builder::WithToken(std::string_view token) {
  return WithTokenSha256(Sha256Hex(token));
}

account_builder& account_builder::WithTokenSha256(
    std::string_view lower_case_hex) {
  account_.token_sha256 = lower_case_hex;
  return *this;
}

account_builder& account_builder::WithLimits(uint32_t requests_per_second,
                                             uint32_t concurrent_requests) {
  account_.requests_per_second = requests_per_second;
  account_.concurrent_requests = concurrent_requests;
  return *this;
}

account_builder& account_builder::WithBatchWeight(uint32_t weight) {
  account_.batch_weight = weight;
  return *this;
}

account_builder& account_builder::OnlyCalls(
    std::initializer_list<std::string_view> services) {
  for (const std::string_view service : services) {
    account_.services.emplace_back(std::string(service));
  }
  return *this;
}

}  // namespace shallotport
