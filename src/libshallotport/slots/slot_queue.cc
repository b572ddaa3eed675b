#include "slots/slot_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace shallotport {

namespace {

// More than all slots of a service become free of within a useful wait.
constexpr size_t kMaxWaiting = 1'024;
// A request that has waited for this part of its useful wait goes first, so
// that none is overtaken until it is late.
constexpr double kOverdueShare = 0.75;
bool IsOverdue(steady_time now, const waiting_slot_request& request) {
  return now - request.arrived_at >=
         (request.give_up_at - request.arrived_at) * kOverdueShare;
}

// The lowest gets the next slot.
auto OrderOf(steady_time now, const waiting_slot_request& request) {
  return std::tuple(!IsOverdue(now, request), request.demand.has_returned == 0,
                    request.demand.priority, request.start_tag,
                    request.arrived_at);
}

}  // namespace

double slot_queue::StartTag(const waiting_slot_request& request) const {
  const auto found = finish_tags_.find(request.demand.account);
  return found == finish_tags_.end() ? virtual_time_
                                     : std::max(virtual_time_, found->second);
}

std::optional<waiting_slot_request> slot_queue::Add(
    waiting_slot_request request) {
  request.start_tag = StartTag(request);
  finish_tags_[request.demand.account] = request.start_tag + 1;
  waiting_.push_back(std::move(request));
  if (waiting_.size() <= kMaxWaiting) {
    return std::nullopt;
  }
  std::map<uint64_t, size_t> counts;
  for (const waiting_slot_request& each : waiting_) {
    ++counts[each.demand.account];
  }
  const uint64_t most = std::max_element(counts.begin(), counts.end(),
                                         [](const auto& a, const auto& b) {
                                           return a.second < b.second;
                                         })
                            ->first;
  const auto newest = std::find_if(
      waiting_.rbegin(), waiting_.rend(),
      [most](const auto& each) { return each.demand.account == most; });
  waiting_slot_request dropped = std::move(*newest);
  ReturnTurn(dropped);
  waiting_.erase(std::next(newest).base());
  return dropped;
}

bool slot_queue::Remove(const std::string& host, uint64_t ticket) {
  return std::erase_if(waiting_, [&](const waiting_slot_request& each) {
           const bool is_it = each.demand.ticket == ticket && each.host == host;
           if (is_it) {
             ReturnTurn(each);
           }
           return is_it;
         }) > 0;
}

void slot_queue::RemoveHost(const std::string& host) {
  std::erase_if(waiting_, [this, &host](const waiting_slot_request& each) {
    if (each.host == host) {
      ReturnTurn(each);
    }
    return each.host == host;
  });
}

void slot_queue::Clear() {
  waiting_.clear();
  finish_tags_.clear();
}

void slot_queue::ReturnTurn(const waiting_slot_request& request) {
  const auto found = finish_tags_.find(request.demand.account);
  if (found == finish_tags_.end()) {
    return;
  }
  found->second -= 1;
  if (found->second <= virtual_time_) {
    finish_tags_.erase(found);
  }
}

std::vector<waiting_slot_request> slot_queue::TakeExpired(steady_time now) {
  const auto expired =
      std::stable_partition(waiting_.begin(), waiting_.end(),
                            [now](const waiting_slot_request& each) {
                              return now < each.give_up_at;
                            });
  std::vector<waiting_slot_request> taken(
      std::make_move_iterator(expired),
      std::make_move_iterator(waiting_.end()));
  waiting_.erase(expired, waiting_.end());
  for (const waiting_slot_request& each : taken) {
    ReturnTurn(each);
  }
  return taken;
}

std::vector<const waiting_slot_request*> slot_queue::First(steady_time now,
                                                           size_t count) const {
  std::vector<const waiting_slot_request*> first;
  first.reserve(waiting_.size());
  for (const waiting_slot_request& each : waiting_) {
    first.push_back(&each);
  }
  const size_t size = std::min(count, first.size());
  std::partial_sort(first.begin(), first.begin() + static_cast<ptrdiff_t>(size),
                    first.end(), [now](const auto* a, const auto* b) {
                      return OrderOf(now, *a) < OrderOf(now, *b);
                    });
  first.resize(size);
  return first;
}

waiting_slot_request slot_queue::Take(const waiting_slot_request& request) {
  const auto at =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&request](const auto& each) { return &each == &request; });
  waiting_slot_request taken = std::move(*at);
  waiting_.erase(at);
  virtual_time_ = std::max(virtual_time_, taken.start_tag);
  // Accounts behind the virtual time have no advantage to remember.
  std::erase_if(finish_tags_, [this](const auto& each) {
    return each.second <= virtual_time_;
  });
  return taken;
}

size_t slot_queue::CountAhead(steady_time now,
                              const waiting_slot_request& request) const {
  waiting_slot_request added = request;
  added.start_tag = StartTag(request);
  const auto order = OrderOf(now, added);
  return static_cast<size_t>(std::count_if(
      waiting_.begin(), waiting_.end(),
      [&](const auto& each) { return OrderOf(now, each) < order; }));
}

}  // namespace shallotport
