#include "fleet/group_replica.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <utility>

#include "consensus/replica_driver.h"

namespace shallotport {

namespace {

// Maximum time between two checks of a pending stop or snapshot.
constexpr std::chrono::milliseconds kMaxFlushWait{200};
// Timing of a group within one region, where a round trip takes a few
// milliseconds: a lost leader is replaced within about a second, and two lost
// packets in a row do not depose one.
constexpr std::chrono::milliseconds kHeartbeatInterval{110};
constexpr std::chrono::milliseconds kLeaseDuration{330};
constexpr std::chrono::milliseconds kElectionTimeout{480};

}  // namespace

group_replica::group_replica(boost::asio::io_context& loop,
                             const clock_source& clock,
                             replicated_slice slice)
    : loop_(loop), clock_(clock), slice_(slice), timer_(loop) {}

group_replica::~group_replica() {
  *is_alive_ = false;
  if (driver_ != nullptr) {
    driver_->WaitForSnapshot();
  }
}

replica_options MakeGroupOptions(uint32_t group,
                                 const host_announcement& self,
                                 std::string folder,
                                 const std::vector<host_id>& founders) {
  replica_options options;
  options.group = group;
  options.host = self.host;
  options.folder = std::move(folder);
  options.heartbeat_interval = kHeartbeatInterval;
  options.election_timeout = kElectionTimeout;
  options.lease_duration = kLeaseDuration;
  const bool is_founder =
      self.is_first_start &&
      std::find(founders.begin(), founders.end(), self.host) != founders.end();
  if (is_founder) {
    options.initial_members = founders;
  }
  return options;
}

result<std::unique_ptr<group_replica>> group_replica::Open(
    boost::asio::io_context& loop,
    const clock_source& clock,
    replica_options options,
    replicated_slice slice,
    replicated_state& state,
    replica::send_function send) {
  std::unique_ptr<group_replica> opened(new group_replica(loop, clock, slice));
  opened->driver_ = std::make_unique<replica_driver>(std::move(options), clock,
                                                     std::move(send));
  opened->driver_->states().Register(slice, &state);
  if (status recovered = opened->driver_->Open(); !IsOk(recovered)) {
    return ErrorOf(recovered);
  }
  opened->disk_ = opened->driver_->core()->options().disk;
  opened->ScheduleFlush();
  return opened;
}

void group_replica::OnMessage(std::string bytes) noexcept {
  driver_->Handle(clock_.Now(), peer_bytes{std::move(bytes)});
  ScheduleFlush();
}

void group_replica::Propose(std::string command,
                            reply_function reply) noexcept {
  proposal content;
  content.slice = slice_;
  content.command = std::move(command);
  driver_->Handle(clock_.Now(),
                  submitted_proposal{std::move(content), std::move(reply)});
  ScheduleFlush();
}

void group_replica::Query(std::string query, reply_function reply) noexcept {
  driver_->Handle(clock_.Now(),
                  submitted_query{slice_, std::move(query), std::move(reply)});
  ScheduleFlush();
}

void group_replica::ChangeMembership(membership_step step,
                                     const host_id& host,
                                     reply_function reply) noexcept {
  driver_->Handle(clock_.Now(), submitted_step{step, host, std::move(reply)});
  ScheduleFlush();
}

void group_replica::Stop(std::function<void()> done) {
  auto stopped = std::make_shared<std::promise<void>>();
  auto stop_future = std::make_shared<std::future<void>>(stopped->get_future());
  driver_->Handle(clock_.Now(), stop_request{stopped});
  stop_check_ = [stop_future, done = std::move(done)] {
    if (stop_future->wait_for(std::chrono::seconds(0)) !=
        std::future_status::ready) {
      return false;
    }
    done();
    return true;
  };
  ScheduleFlush();
}

void group_replica::ScheduleFlush() {
  if (std::exchange(is_flush_scheduled_, true)) {
    return;
  }
  boost::asio::post(loop_, [this, alive = is_alive_] {
    if (*alive) {
      is_flush_scheduled_ = false;
      Flush();
    }
  });
}

void group_replica::Flush() {
  const steady_time next_flush_at = driver_->Flush(clock_.Now());
  if (stop_check_ && stop_check_()) {
    stop_check_ = nullptr;
  }
  const steady_time now = clock_.Now();
  if (next_flush_at <= now) {
    ScheduleFlush();
    return;
  }
  timer_.expires_after(std::min<duration>(next_flush_at - now, kMaxFlushWait));
  timer_.async_wait([this, alive = is_alive_](boost::system::error_code error) {
    if (!error && *alive) {
      ScheduleFlush();
    }
  });
}

bool group_replica::IsLeading() const {
  return clock_.Now() < driver_->published_lease_end();
}

bool group_replica::IsTermLeader() const {
  return !driver_->is_failed() &&
         driver_->core()->role() == member_role::kLeader;
}

host_id group_replica::leader() const {
  return driver_->published_leader();
}

uint64_t group_replica::term() const {
  return driver_->published_term();
}

bool group_replica::IsFounded() const {
  return !driver_->core()->membership().IsFounding();
}

std::vector<member_report> group_replica::MemberReports() const {
  return driver_->core()->MemberReports(clock_.Now());
}

const group_membership& group_replica::membership() const {
  return driver_->core()->membership();
}

bool group_replica::IsMembershipCommitted() const {
  return driver_->core()->IsMembershipCommitted();
}

bool group_replica::is_failed() const {
  return driver_->is_failed();
}

sync_totals group_replica::syncs() const {
  return driver_->syncs();
}

}  // namespace shallotport
