#include "entry/entry_duty.h"

#include <utility>
#include <vector>

#include "entry/leave_notice.h"
#include "entry/limit_log.h"
#include "entry/load_header.h"
#include "entry/poison_log.h"
#include "entry/routed_exchange.h"
#include "entry/skipped_response_log.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kSweepInterval{500};
// Several intervals between ticks. If they are further apart, this process
// stalled and has not yet read what arrived meanwhile.
constexpr std::chrono::milliseconds kStallThreshold{300};
// At most one retry of a slow request for every 20 requests served, so that a
// fleet that is slow as a whole gets hardly any extra load.
constexpr double kSlowRetryRatio = 0.05;
constexpr double kMaxSavedSlowRetries = 10;

}  // namespace

entry_duty::entry_duty(boost::asio::io_context& loop,
                       const clock_source& clock,
                       options options,
                       decision_log& log)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      log_(log),
      random_(options_.seed),
      selector_(options_.selector),
      pool_(loop, clock, options_.endpoint_source_ip),
      crash_observer_(clock, pool_, selector_.crashes()),
      admission_(clock, log, options_.wire.retry_after, options_.seed),
      slow_retry_budget_(kSlowRetryRatio, kMaxSavedSlowRetries) {
  crash_observer_.on_ended = [this](const endpoint_start& start) {
    selector_.RecordEnded(clock_.Now(), start);
  };
  LogCrashes(crash_observer_, log_);
  LogSkippedResponses(pool_, log_);
}

entry_duty::~entry_duty() = default;

void entry_duty::SetRoutes(route_configuration configuration) {
  const bool is_newer =
      !routes_ || configuration.version > routes_->configuration().version;
  if (is_newer) {
    route_history_.Update(clock_.Now(), configuration);
    routes_.emplace(std::move(configuration));
  }
}

void entry_duty::UpdateEndpoint(const endpoint_directory::entry& entry) {
  const endpoint_report& report = entry.report;
  versions_.Record(entry.received_at, report.service, report.software_version);
  const steady_time started_at = StartedAt(clock_, report);
  selector_.Update(report, started_at);
  selector_.ConfirmStart(entry.received_at,
                         {report.endpoint, report.start_time_ms}, started_at);
}

void entry_duty::Serve(const route& matched_route,
                       caller_request request,
                       std::shared_ptr<http_exchange> exchange) {
  admission_.Begin(matched_route, std::move(request), std::move(exchange),
                   [this](const route& admitted_route, caller_request admitted,
                          std::shared_ptr<http_exchange> caller) {
                     ServeAdmitted(admitted_route, std::move(admitted),
                                   std::move(caller));
                   });
}

void entry_duty::ServeAdmitted(const route& matched_route,
                               caller_request request,
                               std::shared_ptr<http_exchange> exchange) {
  auto routed = std::make_shared<routed_exchange>(
      *this, matched_route, std::move(request), std::move(exchange));
  active_.insert(routed);
  routed->Begin();
}

void entry_duty::SetRelays(std::vector<relay_address> relays) {
  pool_.paths().SetRelays(std::move(relays));
}

void entry_duty::NotifyLoadChanged() const {
  if (on_load_changed) {
    on_load_changed();
  }
}

void entry_duty::ReadLeaving(const selected_endpoint& from,
                             const response_head& head) {
  switch (ReadLeaveNotice(head.headers, options_.wire)) {
    case leave_notice::kAbsent:
      return;
    case leave_notice::kMalformed:
      ++counters_.malformed_leave_notices;
      return;
    case leave_notice::kLeaving:
      break;
  }
  const endpoint_start start{from.endpoint, from.start_time_ms};
  if (selector_.RecordLeaving(clock_.Now(), start,
                              leaving_endpoints::origin::kOwnResponse)) {
    ++counters_.endpoints_leaving;
    log_.LogState("endpoint_says_leaving", {{"endpoint", from.endpoint.text()},
                                            {"domain", from.domain.text()}});
    NotifyLoadChanged();
  }
}

void entry_duty::ReadLoad(const selected_endpoint& from,
                          const response_head& head) {
  const auto load = ParseLoadHeader(head.headers.Value(options_.wire.load));
  if (load) {
    selector_.RecordLoad(clock_.Now(), from.endpoint, load->running,
                         load->waiting);
  }
}

// A call to a plain service has to end within its objective, so it gains less
// by waiting than by a refusal after which its caller returns.
bool entry_duty::MayQueueForSlots(const route& of) const {
  return of.kind == request_kind::kStreaming && routes_ &&
         routes_->accounts().NeedsKeys();
}

void entry_duty::ReadLimit(const selected_endpoint& from,
                           const response_head& head) {
  const endpoint_start start{from.endpoint, from.start_time_ms};
  const limit_read read = RecordLimit(clock_.Now(), start, head.headers,
                                      options_.wire.limit, selector_.limits());
  counters_.malformed_limits += read == limit_read::kMalformed ? 1 : 0;
  if (read == limit_read::kChanged) {
    LogLimit(log_, start, selector_.limits());
    NotifyLoadChanged();
  }
}

void entry_duty::Tick(steady_time now) {
  const duration gap = now - last_tick_at_;
  hold_ups_.RecordTick(now);
  const std::vector<std::shared_ptr<routed_exchange>> all(active_.begin(),
                                                          active_.end());
  for (const auto& each : all) {
    if (gap > kStallThreshold) {
      each->ExcuseStall(gap, now);
    }
    each->Tick(now);
  }
  last_tick_at_ = now;
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    pool_.Sweep(now);
  }
}

}  // namespace shallotport
