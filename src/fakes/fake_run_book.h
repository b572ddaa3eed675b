#ifndef SHALLOTPORT_FAKES_FAKE_RUN_BOOK_H_
#define SHALLOTPORT_FAKES_FAKE_RUN_BOOK_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

namespace shallotport {

// Counts every execution at a fake endpoint, so that tests can compare what
// callers were told with what ran. With a file the counts also outlive the
// process; remembered answers do not. Thread-safe.
class fake_run_book {
 public:
  // The state of a key as told by the outcome query.
  enum class key_state : uint8_t { kAbsent, kRunning, kDone };
  struct outcome {
    key_state state = key_state::kAbsent;
    std::string answer;
  };

  // `path` may be empty. Existing lines of the file are counted.
  explicit fake_run_book(const std::string& path);
  ~fake_run_book();
  fake_run_book(const fake_run_book&) = delete;
  fake_run_book& operator=(const fake_run_book&) = delete;

  // Counts the start of one execution and returns how many there were of this
  // key; nothing if the key was closed, and then nothing may be executed.
  std::optional<uint64_t> BeginRun(const std::string& key,
                                   const std::string& attempt);

  // Records the answer of a finished execution.
  void EndRun(const std::string& key, const std::string& answer);

  // With `close`, an absent key is refused from now on, so that "absent"
  // stays true.
  outcome OutcomeOf(const std::string& key, bool close);

  // The order's effect is recorded once. False: `fencing` is older than the
  // highest seen.
  bool AcceptOrder(uint64_t fencing, const std::string& order, bool check);
  uint64_t highest_fencing() const;

  // Counts per key and per attempt.
  nlohmann::json ToJson() const;

 private:
  void Count(const std::string& key, const std::string& attempt);

  mutable std::mutex mutex_;
  int file_ = -1;
  std::map<std::string, uint64_t> runs_of_key_;
  std::map<std::string, uint64_t> runs_of_attempt_;
  std::map<std::string, uint64_t> finished_of_key_;
  std::map<std::string, outcome> outcomes_;
  std::set<std::string> closed_keys_;
  std::map<std::string, uint64_t> orders_;
  uint64_t highest_fencing_ = 0;
  uint64_t started_ = 0;
  uint64_t finished_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FAKES_FAKE_RUN_BOOK_H_
