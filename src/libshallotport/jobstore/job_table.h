#ifndef SHALLOTPORT_JOBSTORE_JOB_TABLE_H_
#define SHALLOTPORT_JOBSTORE_JOB_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/replicated_state.h"
#include "jobstore/job_records.h"

namespace shallotport {

enum class job_command_kind : uint8_t {
  kSubmit = 1,
  kRecord = 2,         // An item's result.
  kRecordFailure = 3,  // A run of an item failed at its endpoint.
  kCancel = 4,
  kProgress = 5,  // Of several items, so that a new leader can go on.
};

struct job_progress {
  job_id job;
  std::vector<item_progress> items;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, items);
  }
};

struct job_command {
  job_command_kind kind = job_command_kind::kSubmit;
  job_id job;
  job_submission submission;
  uint32_t item_index = 0;  // Its place in the submission.
  item_result result;       // Its text goes after that of the item's progress.
  std::string base_event;   // The result's text goes on after this one.
  std::vector<job_progress> progress;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, job, submission, item_index, result, base_event, progress);
  }
};

std::string EncodeJobCommand(const job_command& command);

// The batch jobs of a fleet, replicated on the job stores. Each job is accepted
// once, each item gets one result, and results keep their positions. Ended and
// finished jobs stay readable for a time after they were submitted.
class job_table final : public replicated_state {
 public:
  struct item_state {
    bool has_result = false;
    uint32_t failures = 0;
    std::string text;  // Of the events so far, while it is not listed.
    std::string last_event;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(has_result, failures, text, last_event);
    }
  };

  struct job_state {
    job_submission submission;
    wall_milliseconds accepted_at = 0;
    bool is_cancelled = false;  // By its caller: what is left need not run.
    std::vector<item_state> items;
    std::vector<item_result> results;  // In the order of their positions.

    bool IsOpen() const {
      return !is_cancelled && results.size() < items.size();
    }

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(submission, accepted_at, is_cancelled, items, results);
    }
  };

  // Called for a job that was accepted, changed or ended.
  std::function<void(const job_id& job)> on_changed;
  // Called after a snapshot replaced everything.
  std::function<void()> on_loaded;

  std::string Apply(const apply_context& context,
                    std::string_view command) override;
  std::string Query(std::string_view query) const override;
  std::unique_ptr<snapshot_writer> BeginSnapshot() const override;
  status LoadSnapshot(std::istream& in) override;

  const job_state* Find(const job_id& job) const;
  const std::map<job_id, job_state>& jobs() const { return state_.jobs; }
  // Tokens of accepted items without a result, by route.
  uint64_t WaitingTokens(const std::string& route) const;

  // Results from position `start_position` on, at most about a megabyte.
  job_store_reply Read(const job_id& job, uint32_t start_position) const;
  job_store_reply ReadItem(const job_id& job, const std::string& item_id) const;

 private:
  struct table_state {
    std::map<job_id, job_state> jobs;
    std::map<std::string, uint64_t> waiting_tokens;
  };
  class writer;

  job_store_reply_kind Submit(const apply_context& context,
                              job_submission&& submission);
  job_store_reply_kind Record(const job_command& command);
  job_store_reply_kind RecordFailure(const job_command& command);
  job_store_reply_kind Cancel(const job_id& job);
  job_store_reply_kind Progress(const job_command& command);
  void ReleaseWaitingTokens(const job_state& job, uint32_t item);
  void RemoveExpired(wall_milliseconds now);

  table_state state_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_JOB_TABLE_H_
