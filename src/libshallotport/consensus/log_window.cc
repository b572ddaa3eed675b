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
  return entries_.empty() ? base_term_ : entries_.back().term;
}

const log_window::window_entry* log_window::Find(log_index index) const {
  if (index <= base_index_ || index > last_index()) {
    return nullptr;
  }
  return &entries_[index - base_index_ - 1];
}

std::optional<uint64_t> log_window::TermAt(log_index index) const {
  if (index == base_index_) {
    return base_term_;
  }
  const window_entry* found = Find(index);
  return found == nullptr ? std::nullopt : std::optional(found->term);
}

wall_milliseconds log_window::TimeAt(log_index index) const {
  if (index == base_index_) {
    return base_time_;
  }
  const window_entry* found = Find(index);
  return found == nullptr ? 0 : found->time;
}

log_entry_pointer log_window::EntryAt(log_index index) const {
  const window_entry* found = Find(index);
  return found == nullptr ? nullptr : found->entry;
}

void log_window::Append(log_entry_pointer entry) {
  held_bytes_ += BytesOf(*entry);
  last_time_ = entry->leader_time;
  entries_.push_back({entry->term, entry->leader_time, std::move(entry)});
}

void log_window::ReleaseEntry(window_entry& released) {
  if (released.entry != nullptr) {
    held_bytes_ -= BytesOf(*released.entry);
    released.entry.reset();
  }
}

void log_window::TruncateFrom(log_index index) {
  while (last_index() >= index && !entries_.empty()) {
    ReleaseEntry(entries_.back());
    entries_.pop_back();
  }
  evicted_to_ = std::min(evicted_to_, last_index());
  last_time_ = entries_.empty() ? base_time_ : entries_.back().time;
}

void log_window::CompactTo(log_index index) {
  while (base_index_ < index && !entries_.empty()) {
    ReleaseEntry(entries_.front());
    base_term_ = entries_.front().term;
    base_time_ = entries_.front().time;
    entries_.pop_front();
    ++base_index_;
  }
}

void log_window::Reset(log_index index, uint64_t term, wall_milliseconds time) {
  entries_.clear();
  held_bytes_ = 0;
  base_index_ = index;
  base_term_ = term;
  base_time_ = time;
  last_time_ = time;
  evicted_to_ = index;
}

void log_window::Evict(log_index index) {
  evicted_to_ = std::max(evicted_to_, base_index_);
  while (held_bytes_ > memory_limit_bytes_ && evicted_to_ < index &&
         evicted_to_ < last_index()) {
    ReleaseEntry(entries_[evicted_to_ - base_index_]);
    ++evicted_to_;
  }
}

}  // namespace shallotport
