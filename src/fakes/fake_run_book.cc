#include "fakes/fake_run_book.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace shallotport {

fake_run_book::fake_run_book(const std::string& path) {
  if (path.empty()) {
    return;
  }
  std::ifstream existing(path);
  std::string line;
  while (std::getline(existing, line)) {
    const size_t tab = line.find('\t');
    if (tab != std::string::npos) {
      Count(line.substr(0, tab), line.substr(tab + 1));
    }
  }
  file_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

fake_run_book::~fake_run_book() {
  if (file_ >= 0) {
    close(file_);
  }
}

std::optional<uint64_t> fake_run_book::BeginRun(const std::string& key,
                                                const std::string& attempt) {
  const std::lock_guard lock(mutex_);
  if (closed_keys_.contains(key)) {
    return std::nullopt;
  }
  ++started_;
  Count(key, attempt);
  outcomes_[key].state = key_state::kRunning;
  if (file_ >= 0) {
    const std::string line = key + '\t' + attempt + '\n';
    if (write(file_, line.data(), line.size()) < 0) {
      close(file_);
      file_ = -1;
    }
  }
  return runs_of_key_[key];
}

void fake_run_book::EndRun(const std::string& key, const std::string& answer) {
  const std::lock_guard lock(mutex_);
  ++finished_;
  ++finished_of_key_[key];
  outcomes_[key] = {key_state::kDone, answer};
}

fake_run_book::outcome fake_run_book::OutcomeOf(const std::string& key,
                                                bool close) {
  const std::lock_guard lock(mutex_);
  const auto found = outcomes_.find(key);
  if (found != outcomes_.end()) {
    return found->second;
  }
  if (close) {
    closed_keys_.insert(key);
  }
  return {};
}

bool fake_run_book::AcceptOrder(uint64_t fencing,
                                const std::string& order,
                                bool check) {
  const std::lock_guard lock(mutex_);
  if (check && fencing < highest_fencing_) {
    return false;
  }
  highest_fencing_ = std::max(highest_fencing_, fencing);
  ++orders_[order];
  return true;
}

uint64_t fake_run_book::highest_fencing() const {
  const std::lock_guard lock(mutex_);
  return highest_fencing_;
}

nlohmann::json fake_run_book::ToJson() const {
  const std::lock_guard lock(mutex_);
  nlohmann::json repeated = nlohmann::json::object();
  for (const auto& [key, runs] : runs_of_key_) {
    if (runs > 1) {
      repeated[key] = runs;
    }
  }
  return {{"started", started_},
          {"finished", finished_},
          {"keys", runs_of_key_},
          {"attempts", runs_of_attempt_},
          {"finished_keys", finished_of_key_},
          {"repeated_keys", repeated},
          {"orders", orders_},
          {"highest_fencing", highest_fencing_}};
}

void fake_run_book::Count(const std::string& key, const std::string& attempt) {
  ++runs_of_key_[key];
  ++runs_of_attempt_[attempt];
}

}  // namespace shallotport
