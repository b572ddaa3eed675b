#include "fleet/endpoint_directory.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "base/digest.h"

namespace shallotport {

namespace {

// Reports that a network partition delays are received within this time.
constexpr std::chrono::seconds kLeftRetention{120};
// An endpoint without reports may still serve: the hosts that send to it find
// out whether it does. Its version is kept as that of one that has left.
constexpr std::chrono::seconds kSilentRetention{60};
// With rising sequence numbers, at one host.
constexpr uint32_t kMinReportsAfterLeave = 3;

auto OrderKey(const endpoint_report& report) {
  return std::make_tuple(report.start_time_ms,
                         report.stage == endpoint_stage::kLeft,
                         report.sequence);
}

// A leave that names no start also ends the known start, if that began before
// the leave.
bool EndsKnownStart(const endpoint_report& leave,
                    const endpoint_report& known) {
  return leave.leave_time_ms > known.leave_time_ms &&
         known.start_time_ms <= leave.leave_time_ms;
}

// After such a leave, a report sent before it may still be in transit.
bool IsStaleAfterLeave(steady_time now,
                       const endpoint_report& report,
                       const endpoint_directory::entry& known) {
  return known.report.leave_time_ms != 0 && report.leave_time_ms == 0 &&
         report.start_time_ms <= known.report.leave_time_ms &&
         now < known.received_at + kStaleReportWindow;
}

// The same at every host.
endpoint_id FormerId(const endpoint_report& former) {
  const uint64_t key =
      HashOf(former.software_version,
             HashOf(former.service.text(), HashOf(former.endpoint.text())));
  return endpoint_id("former-" + std::to_string(key));
}

// Whether the start that such a leave has ended reports for longer than a
// delayed report takes.
bool OutlivesLeave(steady_time now,
                   const endpoint_report& report,
                   endpoint_directory::source from,
                   endpoint_directory::entry& known) {
  const bool is_ended_start =
      known.report.stage == endpoint_stage::kLeft &&
      known.report.leave_time_ms != 0 && report.leave_time_ms == 0 &&
      report.stage != endpoint_stage::kLeft &&
      report.start_time_ms == known.report.start_time_ms;
  if (!is_ended_start) {
    return false;
  }
  const bool is_later =
      report.sequence >
      std::max(known.report.sequence, known.last_sequence_after_leave);
  if (from == endpoint_directory::source::kEndpoint && is_later) {
    ++known.reports_after_leave;
    known.last_sequence_after_leave = report.sequence;
  }
  const bool is_confirmed = from == endpoint_directory::source::kHost ||
                            known.reports_after_leave >= kMinReportsAfterLeave;
  return is_later && is_confirmed &&
         now >= known.received_at + kStaleReportWindow;
}

}  // namespace

bool endpoint_directory::Apply(steady_time now,
                               const endpoint_report& report,
                               source from) {
  const steady_time received_at =
      now - std::chrono::milliseconds(report.age_ms);
  const auto found = entries_.find(report.endpoint);
  if (found == entries_.end()) {
    entries_[report.endpoint] = {report, received_at};
    return true;
  }
  entry& known = found->second;
  const bool is_newer = OrderKey(report) > OrderKey(known.report);
  const bool has_gone_on = OutlivesLeave(now, report, from, known);
  if (!is_newer && !has_gone_on && !EndsKnownStart(report, known.report)) {
    return false;
  }
  if (IsStaleAfterLeave(now, report, known)) {
    return false;
  }
  // A draining endpoint does not become ready again within one start.
  endpoint_report next = report;
  const bool was_draining = known.report.start_time_ms == next.start_time_ms &&
                            known.report.stage == endpoint_stage::kDraining;
  if (was_draining && next.stage == endpoint_stage::kReady) {
    next.stage = endpoint_stage::kDraining;
  }
  next.start_time_ms = std::max(next.start_time_ms, known.report.start_time_ms);
  KeepFormerVersion(known, next);
  known.received_at = std::max(known.received_at, received_at);
  known.report = std::move(next);
  known.reports_after_leave = 0;
  known.last_sequence_after_leave = 0;
  return true;
}

void endpoint_directory::KeepFormerVersion(const entry& known,
                                           const endpoint_report& next) {
  const endpoint_report& report = known.report;
  const bool is_same = report.service == next.service &&
                       report.software_version == next.software_version;
  if (!is_same) {
    AddFormer(known);
  }
}

void endpoint_directory::AddFormer(const entry& known) {
  if (known.report.software_version.empty()) {
    return;
  }
  entry former{known.report, known.received_at};
  former.report.endpoint = FormerId(known.report);
  former.report.stage = endpoint_stage::kLeft;
  entries_[former.report.endpoint] = former;
}

std::vector<endpoint_id> endpoint_directory::EarlierAtAddress(
    const endpoint_report& report) const {
  std::vector<endpoint_id> earlier;
  for (const auto& [id, each] : entries_) {
    const endpoint_report& other = each.report;
    const bool is_at_address = id != report.endpoint && other.ip == report.ip &&
                               other.port == report.port;
    if (is_at_address && other.stage != endpoint_stage::kLeft &&
        other.start_time_ms < report.start_time_ms) {
      earlier.push_back(id);
    }
  }
  return earlier;
}

void endpoint_directory::Expire(steady_time now) {
  std::vector<entry> silent;
  for (const auto& [id, each] : entries_) {
    if (each.report.stage == endpoint_stage::kReady &&
        now > each.received_at + kSilentRetention) {
      silent.push_back(each);
    }
  }
  for (const entry& each : silent) {
    entries_.erase(each.report.endpoint);
    AddFormer(each);
  }
  std::erase_if(entries_, [now](const auto& each) {
    return now > each.second.received_at + kLeftRetention;
  });
}

bool endpoint_directory::HasAddress(const endpoint_address& address) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& each) {
    const endpoint_report& report = each.second.report;
    return report.ip == address.ip && report.port == address.port;
  });
}

const endpoint_directory::entry* endpoint_directory::Find(
    const endpoint_id& endpoint) const {
  const auto found = entries_.find(endpoint);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<endpoint_report> endpoint_directory::Reports(
    steady_time now) const {
  std::vector<endpoint_report> reports;
  reports.reserve(entries_.size());
  for (const auto& [id, each] : entries_) {
    endpoint_report report = each.report;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - each.received_at);
    report.age_ms = static_cast<uint32_t>(std::max<int64_t>(age.count(), 0));
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace shallotport
