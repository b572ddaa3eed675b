#include "control/order_sender.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shallotport {

order_sender::order_sender(order_sender_options options)
    : options_(options), load_tokens_(options.load_burst) {}

void order_sender::OnLeadershipGained(steady_time now) {
  is_leader_ = true;
  epoch_ = 0;
  epoch_due_ = now;
  former_leader_done_ = now + options_.longest_lease + options_.longest_flight;
  // What a former leader loads may still be going on.
  load_tokens_ = 0;
  tokens_at_ = now;
}

void order_sender::OnLeadershipLost() {
  is_leader_ = false;
  epoch_ = 0;
  attempts_.clear();
  loads_under_way_.clear();
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.under_way.clear();
  }
}

void order_sender::OnEpochTaken(steady_time, log_index epoch) {
  if (is_leader_ && epoch > epoch_) {
    epoch_ = epoch;
    sends_ = 0;
  }
}

void order_sender::OnEpochSeen(steady_time now, log_index epoch) {
  const bool is_overtaken = is_leader_ && epoch_ != 0 && epoch > epoch_;
  if (!is_overtaken) {
    return;
  }
  OnLeadershipLost();
  OnLeadershipGained(now);
}

void order_sender::OnQueue(const std::vector<order_record>& queued) {
  queue_ = queued;
  std::set<std::string> ids;
  for (const order_record& record : queue_) {
    ids.insert(record.order.id);
  }
  std::erase_if(attempts_,
                [&](const auto& entry) { return !ids.contains(entry.first); });
}

void order_sender::OnEndpoint(const endpoint_id& endpoint,
                              bool checks_fencing) {
  endpoint_state& state = endpoints_[endpoint];
  state.is_present = true;
  state.checks_fencing = checks_fencing;
}

void order_sender::OnEndpointGone(const endpoint_id& endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end()) {
    found->second.is_present = false;
  }
}

void order_sender::OnAnswer(steady_time now,
                            const std::string& order_id,
                            fencing_number fencing,
                            order_answer answer,
                            std::string detail) {
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.under_way != order_id || endpoint.fencing != fencing) {
      continue;
    }
    endpoint.under_way.clear();
    loads_under_way_.erase(order_id);
    if (answer == order_answer::kDone || answer == order_answer::kRefused) {
      attempts_[order_id].settle = order_settle{
          order_id, fencing, answer == order_answer::kDone, std::move(detail)};
      return;
    }
    if (answer == order_answer::kOldFencing) {
      // A later leader exists, or this endpoint saw a number of its own.
      ++total_stale_;
      epoch_ = 0;
      epoch_due_ = now;
      endpoint.quiet_until = now + options_.retry_delay;
      return;
    }
    if (answer == order_answer::kNoAnswer && !endpoint.checks_fencing) {
      endpoint.quiet_until = std::max(endpoint.quiet_until, endpoint.answer_by);
    }
    Retry(now, endpoint, order_id, fencing, std::move(detail));
    return;
  }
}

void order_sender::Retry(steady_time now,
                         endpoint_state& endpoint,
                         const std::string& id,
                         fencing_number fencing,
                         std::string detail) {
  endpoint.quiet_until =
      std::max(endpoint.quiet_until, now + options_.retry_delay);
  attempt_count& count = attempts_[id];
  if (count.attempts >= options_.most_attempts) {
    count.settle = order_settle{id, fencing, false, std::move(detail)};
  }
}

order_actions order_sender::Step(steady_time now, steady_time lease_until) {
  order_actions out;
  if (!is_leader_ || now >= lease_until) {
    return out;
  }
  if (epoch_ == 0) {
    out.must_take_epoch = !queue_.empty() && epoch_due_ <= now;
    epoch_due_ = out.must_take_epoch ? now + options_.retry_delay : epoch_due_;
    return out;
  }
  ExpireAnswers(now);
  std::set<endpoint_id> passed;
  for (const order_record& record : queue_) {
    // Only the first queued order of each endpoint is considered.
    if (!passed.insert(record.order.endpoint).second) {
      continue;
    }
    attempt_count& count = attempts_[record.order.id];
    if (count.settle) {
      ProposeSettle(now, count, out);
      continue;
    }
    if (CanSend(now, record) && TakeLoadToken(now, record.order.action)) {
      Send(now, record, out);
    }
  }
  return out;
}

void order_sender::ProposeSettle(steady_time now,
                                 attempt_count& count,
                                 order_actions& out) const {
  if (count.settle_due > now) {
    return;
  }
  count.settle_due = now + options_.retry_delay;
  order_settle settle = *count.settle;
  if (EpochOf(settle.fencing) != epoch_) {
    // Answered under an earlier epoch of this same leadership.
    settle.fencing = FencingNumber(epoch_, sends_);
  }
  out.settles.push_back(std::move(settle));
}

void order_sender::ExpireAnswers(steady_time now) {
  for (auto& [id, endpoint] : endpoints_) {
    if (!endpoint.under_way.empty() && endpoint.answer_by <= now) {
      const std::string order_id = endpoint.under_way;
      endpoint.under_way.clear();
      loads_under_way_.erase(order_id);
      Retry(now, endpoint, order_id, endpoint.fencing, "no answer in time");
    }
  }
}

bool order_sender::CanSend(steady_time now, const order_record& record) {
  const auto found = endpoints_.find(record.order.endpoint);
  if (found == endpoints_.end()) {
    return false;
  }
  const endpoint_state& endpoint = found->second;
  const bool is_free = endpoint.is_present && endpoint.under_way.empty() &&
                       endpoint.quiet_until <= now;
  return is_free && (endpoint.checks_fencing || former_leader_done_ <= now);
}

bool order_sender::TakeLoadToken(steady_time now, order_action action) {
  if (!IsLoad(action)) {
    return true;
  }
  const std::chrono::duration<double> passed = now - tokens_at_;
  load_tokens_ =
      std::min(options_.load_burst,
               load_tokens_ + passed.count() * options_.loads_per_second);
  tokens_at_ = now;
  if (load_tokens_ < 1.0 || loads_under_way_.size() >= options_.loads_at_once) {
    return false;
  }
  load_tokens_ -= 1.0;
  return true;
}

void order_sender::Send(steady_time now,
                        const order_record& record,
                        order_actions& out) {
  endpoint_state& endpoint = endpoints_[record.order.endpoint];
  endpoint.under_way = record.order.id;
  endpoint.fencing = FencingNumber(epoch_, ++sends_);
  endpoint.answer_by = now + options_.longest_flight;
  ++attempts_[record.order.id].attempts;
  ++total_sends_;
  if (IsLoad(record.order.action)) {
    loads_under_way_.insert(record.order.id);
  }
  out.sends.push_back({record.order, endpoint.fencing});
}

void order_sender::WriteState(nlohmann::json& out) const {
  out["is_leader"] = is_leader_;
  out["epoch"] = epoch_;
  nlohmann::json& counters = out["counters"];
  counters["order_sends"] = total_sends_;
  counters["order_answers_old_fencing"] = total_stale_;
  counters["order_loads_under_way"] = loads_under_way_.size();
  counters["order_queue"] = queue_.size();
}

}  // namespace shallotport
