#include "accounts/allotment_messages.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "accounts/account_table.h"
#include "accounts/allotment_budget.h"
#include "accounts/allotment_ledger.h"
#include "accounts/grant_journal.h"

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
      const uint32_t granted = ledger.Take(now, {"h", 1}, each).granted;
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
  const auto records = DecodeGrantRecords(bytes);
  if (IsOk(records)) {
    if (ValueOf(DecodeGrantRecords(EncodeGrantRecords(ValueOf(records)))) !=
        ValueOf(records)) {
      __builtin_trap();
    }
    allotment_ledger ledger;
    ledger.Update({&rules, 1});
    grant_journal journal(kDefaultAllotmentWindow);
    for (grant_record each : ValueOf(records)) {
      for (granted_tokens& tokens : each.grants) {
        tokens.account = AccountDigest(rules.name);
      }
      if (journal.Add(now, each)) {
        ledger.Inherit(now, each);
      }
      if (ledger.Available(now, AccountDigest(rules.name)) > kLimit) {
        __builtin_trap();
      }
    }
    (void)journal.RecordsBeyond(now, journal.Headers(now));
  }
  const auto busy = DecodeBusyAccounts(bytes);
  if (IsOk(busy)) {
    allotment_budget(1).SetBusy(now, ValueOf(busy));
  }
  return 0;
}
