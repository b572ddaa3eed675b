#include "accounts/allotment_messages.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "accounts/account_table.h"
#include "accounts/allotment_budget.h"
#include "accounts/allotment_ledger.h"

// Decodes arbitrary bytes as each message and passes it to the ledger or to a
// budget. What is decoded can be encoded and decoded again. Whatever a message
// states, the ledger grants no more than the allotment.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace shallotport;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  account_rules rules;
  rules.name = "a";
  rules.requests_per_second = 10;
  rules.burst = 20;
  constexpr uint32_t kLimit = 70;
  steady_time now = steady_time() + std::chrono::hours(1);
  const auto needs = DecodeNeeds(bytes);
  if (IsOk(needs)) {
    if (ValueOf(DecodeNeeds(EncodeNeeds(ValueOf(needs)))) != ValueOf(needs)) {
      __builtin_trap();
    }
    allotment_ledger ledger;
    ledger.Update({&rules, 1});
    uint64_t held = 0;
    for (allotment_need each : ValueOf(needs)) {
      each.account = AccountDigest(rules.name);
      const uint32_t granted = ledger.Take(now, "h", each).granted;
      held -= std::min<uint64_t>(held, each.returned);
      held += granted;
      if (granted > kLimit || ledger.Available(now, each.account) > kLimit) {
        __builtin_trap();
      }
    }
    if (held > kLimit) {
      __builtin_trap();
    }
  }
  const auto grants = DecodeGrants(bytes);
  if (IsOk(grants)) {
    if (ValueOf(DecodeGrants(EncodeGrants(ValueOf(grants)))) !=
        ValueOf(grants)) {
      __builtin_trap();
    }
    allotment_budget budget(1);
    budget.Update({&rules, 1});
    for (allotment_grant each : ValueOf(grants)) {
      each.account = AccountDigest(rules.name);
      budget.Add(now, now, each);
      (void)budget.Admit(now, each.account);
      (void)budget.AdmitAlone(now, each.account, true);
      now += kTokenLifetime / 3;
      budget.EndCall(budget.Needs(now), false);
    }
  }
  const auto busy = DecodeBusyAccounts(bytes);
  if (IsOk(busy)) {
    allotment_budget(1).SetBusy(now, ValueOf(busy));
  }
  return 0;
}
