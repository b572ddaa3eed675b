#include "jobstore/job_store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

#include "base/codec.h"

namespace shallotport {

namespace {

// A new leader is elected within about a second and a half.
constexpr std::chrono::milliseconds kPatience{2'500};
// A leader answers within a few syncs. After this the link is suspect and
// another store is asked as well: all calls may be repeated.
constexpr std::chrono::milliseconds kCallTimeout{250};
// Between two rounds over all stores.
constexpr std::chrono::milliseconds kRoundPause{60};

}  // namespace

struct job_store_client::pending {
  fleet_call method = fleet_call::kReadJob;
  std::string body;
  steady_time due{};
  duration call_timeout{};
  reply_function reply;
  std::set<std::string> tried;  // In this round.
  bool is_in_doubt = false;
  std::unique_ptr<boost::asio::steady_timer> pause;
};

job_store_client::job_store_client(boost::asio::io_context& loop,
                                   const clock_source& clock,
                                   fleet_host& fleet)
    : loop_(loop), clock_(clock), fleet_(fleet) {}

void job_store_client::Submit(const job_submission& submission,
                              reply_function reply) {
  Start(fleet_call::kSubmitJob, Encode(submission), kPatience,
        std::move(reply));
}

void job_store_client::Read(const job_read_request& read,
                            reply_function reply) {
  Start(fleet_call::kReadJob, Encode(read),
        kPatience + std::chrono::milliseconds(read.wait_ms), std::move(reply));
}

void job_store_client::ReadItem(const job_read_request& read,
                                reply_function reply) {
  Start(fleet_call::kReadItem, Encode(read), kPatience, std::move(reply));
}

void job_store_client::Cancel(const job_read_request& read,
                              reply_function reply) {
  Start(fleet_call::kEndJob, Encode(read), kPatience, std::move(reply));
}

void job_store_client::Start(fleet_call method,
                             std::string body,
                             duration patience,
                             reply_function reply) {
  auto call = std::make_shared<pending>();
  call->method = method;
  call->body = std::move(body);
  call->due = clock_.Now() + patience;
  call->call_timeout = patience - kPatience + kCallTimeout;
  call->reply = std::move(reply);
  Try(call);
}

std::string job_store_client::NextStore(const pending& call) const {
  if (!leader_ip_.empty() && !call.tried.contains(leader_ip_) &&
      fleet_.hub().IsUp(leader_ip_)) {
    return leader_ip_;
  }
  for (const host_announcement& store : fleet_.LiveHosts(host_role::kStore)) {
    const std::string& ip = store.host.text();
    if (!call.tried.contains(ip) && fleet_.hub().IsUp(ip)) {
      return ip;
    }
  }
  return {};
}

void job_store_client::Try(const std::shared_ptr<pending>& call) {
  if (clock_.Now() >= call->due) {
    job_store_reply answer;
    answer.kind = call->is_in_doubt ? job_store_reply_kind::kUnknown
                                    : job_store_reply_kind::kNotLeader;
    call->reply(std::move(answer));
    return;
  }
  const std::string ip = NextStore(*call);
  if (ip.empty()) {
    call->tried.clear();
    call->pause = std::make_unique<boost::asio::steady_timer>(loop_);
    call->pause->expires_after(kRoundPause);
    call->pause->async_wait([this, call](boost::system::error_code stopped) {
      if (!stopped) {
        Try(call);
      }
    });
    return;
  }
  call->tried.insert(ip);
  fleet_.hub().Call(
      ip, static_cast<uint8_t>(call->method), call->body, call->call_timeout,
      [this, call, ip](const result<std::string>& reply) {
        const bool is_unsent =
            !IsOk(reply) && ErrorOf(reply).kind == error_kind::kNoCapacity;
        auto answer = IsOk(reply) ? Decode<job_store_reply>(ValueOf(reply))
                                  : result<job_store_reply>(job_store_reply{});
        if (is_unsent || !IsOk(answer)) {
          Try(call);
          return;
        }
        const job_store_reply& given = ValueOf(answer);
        if (given.kind == job_store_reply_kind::kNotLeader) {
          if (!given.leader.IsEmpty()) {
            leader_ip_ = given.leader.text();
          } else if (leader_ip_ == ip) {
            leader_ip_.clear();
          }
          Try(call);
          return;
        }
        if (given.kind == job_store_reply_kind::kUnknown) {
          // All calls may be repeated; only a refusal is out of the question.
          call->is_in_doubt = true;
          leader_ip_.clear();
          Try(call);
          return;
        }
        leader_ip_ = ip;
        job_store_reply final_answer = ValueOf(std::move(answer));
        // An earlier try that got no reply may still be accepted.
        if (call->is_in_doubt &&
            final_answer.kind == job_store_reply_kind::kOverLimit) {
          final_answer.kind = job_store_reply_kind::kUnknown;
        }
        call->reply(std::move(final_answer));
      });
}

}  // namespace shallotport
