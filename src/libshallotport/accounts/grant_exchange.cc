#include "accounts/grant_exchange.h"

#include <utility>
#include <vector>

#include "accounts/allotment_ledger.h"
#include "accounts/allotment_messages.h"
#include "accounts/allotment_terms.h"
#include "fleet/fleet_host.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

namespace {

// Of the grants, what the next leader may not have heard of.
constexpr std::chrono::milliseconds kSendInterval{50};
// A store that was held up may reply after this host has begun to grant.
constexpr std::chrono::seconds kReadTimeout{2};

}  // namespace

grant_exchange::grant_exchange(const clock_source& clock,
                               fleet_host& fleet,
                               allotment_ledger& ledger,
                               duration window)
    : clock_(clock),
      fleet_(fleet),
      ledger_(ledger),
      journal_(window + kTokenLifetime) {}

void grant_exchange::SetLeading(steady_time now,
                                bool is_leading,
                                std::span<const host_id> voters) {
  Send(now, voters);
  is_leading_ = is_leading;
  ledger_.Clear();
  if (!is_leading) {
    return;
  }
  for (const grant_record& each : journal_.RecordsBeyond(now, {})) {
    ledger_.Inherit(now, each);
  }
  const std::string known = EncodeGrantRecords(journal_.Headers(now));
  for (const host_id& each : voters) {
    fleet_.hub().Call(
        each.text(), static_cast<uint8_t>(fleet_call::kReadGrantRecords), known,
        kReadTimeout, [this](const result<std::string>& reply) {
          if (IsOk(reply)) {
            Add(ValueOf(reply));
          }
        });
  }
}

void grant_exchange::Tick(steady_time now, std::span<const host_id> voters) {
  if (now >= next_send_at_) {
    next_send_at_ = now + kSendInterval;
    Send(now, voters);
  }
}

void grant_exchange::Send(steady_time now, std::span<const host_id> voters) {
  grant_record record;
  record.grants = ledger_.TakeUnrecorded();
  if (record.grants.empty()) {
    return;
  }
  record.leader_start = fleet_.self().start_id;
  record.number = next_number_++;
  journal_.Add(now, record);
  const std::string encoded = EncodeGrantRecords({std::move(record)});
  for (const host_id& each : voters) {
    fleet_.hub().Send(
        each.text(), static_cast<uint8_t>(fleet_frame::kGrantRecords), encoded);
  }
}

bool grant_exchange::OnFrame(uint8_t kind, std::string_view payload) {
  if (kind != static_cast<uint8_t>(fleet_frame::kGrantRecords)) {
    return false;
  }
  Add(payload);
  return true;
}

void grant_exchange::Add(std::string_view records) {
  const auto decoded = DecodeGrantRecords(records);
  if (!IsOk(decoded)) {
    return;
  }
  const steady_time now = clock_.Now();
  for (const grant_record& each : ValueOf(decoded)) {
    if (journal_.Add(now, each) && is_leading_) {
      ledger_.Inherit(now, each);
    }
  }
}

std::string grant_exchange::ReplyToRead(std::string_view body) {
  const auto known = DecodeGrantRecords(body);
  return EncodeGrantRecords(
      IsOk(known) ? journal_.RecordsBeyond(clock_.Now(), ValueOf(known))
                  : std::vector<grant_record>());
}

}  // namespace shallotport
