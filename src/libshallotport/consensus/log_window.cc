#include "consensus/log_window.h"

#include <algorithm>
#include <utility>

namespace shallotport {

namespace {

uint64_t BytesOf(const log_entry& entry) {
  return sizeof(log_entry) + entry.content.command.size();
}

}  // namespace

uint64_t log_window::last_term() const {
  return slots_.empty() ? base_term_ : slots_.back().term;
}

const log_window::slot* log_window::SlotAt(log_index index) const {
  if (index <= base_index_ || index > last_index()) {
    return nullptr;
  }
  return &slots_[index - base_index_ - 1];
}

std::optional<uint64_t> log_window::TermAt(log_index index) const {
  if (index == base_index_) {
    return base_term_;
  }
  const slot* found = SlotAt(index);
  return found == nullptr ? std::nullopt : std::optional(found->term);
}

wall_milliseconds log_window::TimeAt(log_index index) const {
  if (index == base_index_) {
    return base_time_;
  }
  const slot* found = SlotAt(index);
  return found == nullptr ? 0 : found->time;
}

log_entry_pointer log_window::EntryAt(log_index index) const {
  const slot* found = SlotAt(index);
  return found == nullptr ? nullptr : found->entry;
}

void log_window::Append(log_entry_pointer entry) {
  held_bytes_ += BytesOf(*entry);
  last_time_ = entry->leader_time;
  slots_.push_back({entry->term, entry->leader_time, std::move(entry)});
}

void log_window::Drop(slot& dropped) {
  if (dropped.entry != nullptr) {
    held_bytes_ -= BytesOf(*dropped.entry);
    dropped.entry.reset();
  }
}

void log_window::TruncateFrom(log_index index) {
  while (last_index() >= index && !slots_.empty()) {
    Drop(slots_.back());
    slots_.pop_back();
  }
  evicted_to_ = std::min(evicted_to_, last_index());
  last_time_ = slots_.empty() ? base_time_ : slots_.back().time;
}

void log_window::CompactTo(log_index index) {
  while (base_index_ < index && !slots_.empty()) {
    Drop(slots_.front());
    base_term_ = slots_.front().term;
    base_time_ = slots_.front().time;
    slots_.pop_front();
    ++base_index_;
  }
}

void log_window::Reset(log_index index, uint64_t term, wall_milliseconds time) {
  slots_.clear();
  held_bytes_ = 0;
  base_index_ = index;
  base_term_ = term;
  base_time_ = time;
  last_time_ = time;
  evicted_to_ = index;
}

void log_window::Evict(log_index index) {
  evicted_to_ = std::max(evicted_to_, base_index_);
  while (held_bytes_ > budget_bytes_ && evicted_to_ < index &&
         evicted_to_ < last_index()) {
    Drop(slots_[evicted_to_ - base_index_]);
    ++evicted_to_;
  }
}

}  // namespace shallotport
