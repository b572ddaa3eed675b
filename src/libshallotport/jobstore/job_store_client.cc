#include "jobstore/job_store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

#include "base/codec.h"

namespace shallotport {

namespace {

// A new leader is elected within about a second and a half.
constexpr std::chrono::milliseconds kRequestTimeout{2'500};
// A leader replies within a few disk syncs. After this time the call is sent to
// another store as well: all calls are idempotent.
constexpr std::chrono::milliseconds kCallTimeout{250};
// Between two rounds through all stores.
constexpr std::chrono::milliseconds kRoundDelay{60};

}  // namespace

struct job_store_client::pending_call {
  fleet_call method = fleet_call::kReadJob;
  std::string body;
  steady_time deadline{};
  duration call_timeout{};
  reply_handler on_reply;
  std::set<std::string> contacted;  // In this round.
  bool may_have_been_done = false;
  std::unique_ptr<boost::asio::steady_timer> round_timer;
};

job_store_client::job_store_client(boost::asio::io_context& loop,
                                   const clock_source& clock,
                                   fleet_host& fleet)
    : loop_(loop), clock_(clock), fleet_(fleet) {}

void job_store_client::Submit(const job_submission& submission,
                              reply_handler on_reply) {
  BeginCall(fleet_call::kSubmitJob, Encode(submission), kRequestTimeout,
            std::move(on_reply));
}

void job_store_client::Read(const job_read_request& read,
                            reply_handler on_reply) {
  BeginCall(fleet_call::kReadJob, Encode(read),
            kRequestTimeout + std::chrono::milliseconds(read.wait_ms),
            std::move(on_reply));
}

void job_store_client::ReadItem(const job_read_request& read,
                                reply_handler on_reply) {
  BeginCall(fleet_call::kReadItem, Encode(read), kRequestTimeout,
            std::move(on_reply));
}

void job_store_client::Cancel(const job_read_request& read,
                              reply_handler on_reply) {
  BeginCall(fleet_call::kEndJob, Encode(read), kRequestTimeout,
            std::move(on_reply));
}

void job_store_client::BeginCall(fleet_call method,
                                 std::string body,
                                 duration timeout,
                                 reply_handler on_reply) {
  auto call = std::make_shared<pending_call>();
  call->method = method;
  call->body = std::move(body);
  call->deadline = clock_.Now() + timeout;
  call->call_timeout = timeout - kRequestTimeout + kCallTimeout;
  call->on_reply = std::move(on_reply);
  SendToNextStore(call);
}

std::string job_store_client::NextStore(const pending_call& call) const {
  if (!leader_ip_.empty() && !call.contacted.contains(leader_ip_) &&
      fleet_.hub().IsUp(leader_ip_)) {
    return leader_ip_;
  }
  for (const host_announcement& store : fleet_.LiveHosts(host_role::kStore)) {
    const std::string& ip = store.host.text();
    if (!call.contacted.contains(ip) && fleet_.hub().IsUp(ip)) {
      return ip;
    }
  }
  return {};
}

void job_store_client::SendToNextStore(
    const std::shared_ptr<pending_call>& call) {
  if (clock_.Now() >= call->deadline) {
    job_store_reply failure;
    failure.kind = call->may_have_been_done ? job_store_reply_kind::kUnknown
                                            : job_store_reply_kind::kNotLeader;
    call->on_reply(std::move(failure));
    return;
  }
  const std::string ip = NextStore(*call);
  if (ip.empty()) {
    call->contacted.clear();
    call->round_timer = std::make_unique<boost::asio::steady_timer>(loop_);
    call->round_timer->expires_after(kRoundDelay);
    call->round_timer->async_wait(
        [this, call](boost::system::error_code cancelled) {
          if (!cancelled) {
            SendToNextStore(call);
          }
        });
    return;
  }
  call->contacted.insert(ip);
  fleet_.hub().Call(
      ip, static_cast<uint8_t>(call->method), call->body, call->call_timeout,
      [this, call, ip](const result<std::string>& reply) {
        const bool is_unsent =
            !IsOk(reply) && ErrorOf(reply).kind == error_kind::kNoCapacity;
        auto decoded = IsOk(reply) ? Decode<job_store_reply>(ValueOf(reply))
                                   : result<job_store_reply>(job_store_reply{});
        if (is_unsent || !IsOk(decoded)) {
          SendToNextStore(call);
          return;
        }
        const job_store_reply& store_reply = ValueOf(decoded);
        if (store_reply.kind == job_store_reply_kind::kNotLeader) {
          if (!store_reply.leader.IsEmpty()) {
            leader_ip_ = store_reply.leader.text();
          } else if (leader_ip_ == ip) {
            leader_ip_.clear();
          }
          SendToNextStore(call);
          return;
        }
        if (store_reply.kind == job_store_reply_kind::kUnknown) {
          // Retries, as all calls are idempotent, but the call must not be
          // reported as refused any more.
          call->may_have_been_done = true;
          leader_ip_.clear();
          SendToNextStore(call);
          return;
        }
        leader_ip_ = ip;
        job_store_reply final_reply = ValueOf(std::move(decoded));
        // An earlier attempt without a definite reply may still be accepted.
        if (call->may_have_been_done &&
            final_reply.kind == job_store_reply_kind::kOverLimit) {
          final_reply.kind = job_store_reply_kind::kUnknown;
        }
        call->on_reply(std::move(final_reply));
      });
}

}  // namespace shallotport
