#include "jobstore/job_table.h"

#include <algorithm>
#include <cstring>
#include <istream>
#include <ostream>
#include <utility>

#include "base/codec.h"

namespace shallotport {

namespace {

// Jobs stay readable this long after they were submitted: callers' two minutes
// and a margin for clocks that jump.
constexpr wall_milliseconds kKeepJobMs = 180'000;
constexpr size_t kMaxReadBytes = 900u << 10;

// Writes and reads a number before each part of a snapshot.
void WriteNumber(std::ostream& out, uint64_t number) {
  char bytes[sizeof(number)];
  std::memcpy(bytes, &number, sizeof(number));
  out.write(bytes, sizeof(bytes));
}

bool ReadNumber(std::istream& in, uint64_t& number) {
  char bytes[sizeof(number)];
  if (!in.read(bytes, sizeof(bytes))) {
    return false;
  }
  std::memcpy(&number, bytes, sizeof(number));
  return true;
}

// A larger part cannot be a job's, whose commands are bounded.
constexpr uint64_t kMaxPartBytes = 64u << 20;

template <typename T>
status ReadPart(std::istream& in, T& part) {
  uint64_t size = 0;
  if (!ReadNumber(in, size) || size > kMaxPartBytes) {
    return MakeError(error_kind::kCorrupt, "job snapshot: bad length");
  }
  std::string bytes(size, '\0');
  if (!in.read(bytes.data(), static_cast<std::streamsize>(size))) {
    return MakeError(error_kind::kCorrupt, "job snapshot: ends early");
  }
  auto decoded = Decode<T>(bytes);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  part = std::move(ValueOf(decoded));
  return success{};
}

template <typename T>
void WritePart(std::ostream& out, const T& part) {
  const std::string bytes = Encode(part);
  WriteNumber(out, bytes.size());
  out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}

}  // namespace

std::string EncodeJobCommand(const job_command& command) {
  return Encode(command);
}

std::string job_table::Apply(const apply_context& context,
                             std::string_view command) {
  auto decoded = Decode<job_command>(command);
  job_store_reply answer;
  if (!IsOk(decoded)) {
    return Encode(answer);  // A malformed command changes nothing.
  }
  job_command& given = ValueOf(decoded);
  switch (given.kind) {
    case job_command_kind::kSubmit:
      answer.kind = Submit(context, std::move(given.submission));
      break;
    case job_command_kind::kRecord:
      answer.kind = Record(given);
      break;
    case job_command_kind::kRecordFailure:
      answer.kind = RecordFailure(given);
      break;
    case job_command_kind::kCancel:
      answer.kind = Cancel(given.job);
      break;
    case job_command_kind::kProgress:
      answer.kind = Progress(given);
      break;
  }
  if (on_changed) {
    on_changed(given.job);
  }
  return Encode(answer);
}

job_store_reply_kind job_table::Submit(const apply_context& context,
                                       job_submission&& submission) {
  DropOld(context.leader_time);
  if (kept_.jobs.contains(submission.job)) {
    return job_store_reply_kind::kDone;  // Accepted once, acknowledged again.
  }
  uint64_t tokens = 0;
  for (const job_item& item : submission.items) {
    tokens += item.tokens;
  }
  uint64_t& waiting = kept_.waiting_tokens[submission.route];
  const bool fits = submission.waiting_tokens_limit == 0 ||
                    waiting + tokens <= submission.waiting_tokens_limit;
  if (!fits) {
    return job_store_reply_kind::kOverLimit;
  }
  waiting += tokens;
  job_state job;
  job.accepted_at = context.leader_time;
  job.items.resize(submission.items.size());
  job.submission = std::move(submission);
  const job_id id = job.submission.job;
  kept_.jobs.emplace(id, std::move(job));
  return job_store_reply_kind::kDone;
}

job_store_reply_kind job_table::Record(const job_command& command) {
  const auto found = kept_.jobs.find(command.job);
  if (found == kept_.jobs.end() ||
      command.item_index >= found->second.items.size()) {
    return job_store_reply_kind::kNotFound;
  }
  job_state& job = found->second;
  item_state& item = job.items[command.item_index];
  if (item.has_result) {
    return job_store_reply_kind::kDone;  // The first result stands.
  }
  // Runs of a leader whose lease lapsed may know less than what is committed.
  const bool goes_on = command.base_event == item.last_event;
  if (command.result.is_completed && !goes_on) {
    return job_store_reply_kind::kConflict;
  }
  item.has_result = true;
  if (!job.is_cancelled) {
    StopWaiting(job, command.item_index);
  }
  item_result result = command.result;
  result.item_id = job.submission.items[command.item_index].id;
  if (result.is_completed) {
    std::string whole = item.text + result.text.text();
    if (!whole.empty()) {
      whole.pop_back();  // Line feeds stand between the events.
    }
    result.text = std::move(whole);
  }
  item.text.clear();
  item.text.shrink_to_fit();
  job.results.push_back(std::move(result));
  job.submission.items[command.item_index].body.Clear();
  return job_store_reply_kind::kDone;
}

job_store_reply_kind job_table::RecordFailure(const job_command& command) {
  const auto found = kept_.jobs.find(command.job);
  if (found == kept_.jobs.end() ||
      command.item_index >= found->second.items.size()) {
    return job_store_reply_kind::kNotFound;
  }
  ++found->second.items[command.item_index].failures;
  return job_store_reply_kind::kDone;
}

job_store_reply_kind job_table::Progress(const job_command& command) {
  for (const job_progress& each : command.progress) {
    const auto found = kept_.jobs.find(each.job);
    if (found == kept_.jobs.end()) {
      continue;
    }
    for (const item_progress& step : each.items) {
      const bool is_open = step.item_index < found->second.items.size() &&
                           !found->second.items[step.item_index].has_result;
      if (!is_open) {
        continue;
      }
      item_state& item = found->second.items[step.item_index];
      if (item.last_event == step.base_event) {
        item.text += step.text;
        item.last_event = step.last_event;
      }
    }
  }
  return job_store_reply_kind::kDone;
}

job_store_reply_kind job_table::Cancel(const job_id& id) {
  const auto found = kept_.jobs.find(id);
  if (found == kept_.jobs.end()) {
    return job_store_reply_kind::kNotFound;
  }
  job_state& job = found->second;
  if (std::exchange(job.is_cancelled, true)) {
    return job_store_reply_kind::kDone;
  }
  for (uint32_t i = 0; i < job.items.size(); ++i) {
    if (!job.items[i].has_result) {
      StopWaiting(job, i);
    }
  }
  return job_store_reply_kind::kDone;
}

void job_table::StopWaiting(const job_state& job, uint32_t item) {
  uint64_t& waiting = kept_.waiting_tokens[job.submission.route];
  waiting -= std::min(waiting, job.submission.items[item].tokens);
}

void job_table::DropOld(wall_milliseconds now) {
  std::erase_if(kept_.jobs, [now](const auto& each) {
    return !each.second.IsOpen() && now > each.second.accepted_at + kKeepJobMs;
  });
}

std::string job_table::Query(std::string_view) const {
  return {};
}

const job_table::job_state* job_table::Find(const job_id& job) const {
  const auto found = kept_.jobs.find(job);
  return found == kept_.jobs.end() ? nullptr : &found->second;
}

uint64_t job_table::WaitingTokens(const std::string& route) const {
  const auto found = kept_.waiting_tokens.find(route);
  return found == kept_.waiting_tokens.end() ? 0 : found->second;
}

job_store_reply job_table::Read(const job_id& id,
                                uint32_t start_position) const {
  job_store_reply answer;
  const job_state* job = Find(id);
  if (job == nullptr) {
    answer.kind = job_store_reply_kind::kNotFound;
    return answer;
  }
  answer.kind = job_store_reply_kind::kDone;
  answer.total = static_cast<uint32_t>(job->items.size());
  size_t bytes = 0;
  for (size_t i = start_position; i < job->results.size(); ++i) {
    bytes += job->results[i].text.text().size() +
             job->results[i].item_id.size() + 64;
    if (!answer.results.empty() && bytes > kMaxReadBytes) {
      break;
    }
    answer.results.push_back(job->results[i]);
  }
  return answer;
}

job_store_reply job_table::ReadItem(const job_id& id,
                                    const std::string& item_id) const {
  job_store_reply answer;
  answer.kind = job_store_reply_kind::kNotFound;
  const job_state* job = Find(id);
  if (job == nullptr || job->is_cancelled) {
    return answer;
  }
  for (size_t i = 0; i < job->items.size(); ++i) {
    if (job->submission.items[i].id == item_id && !job->items[i].has_result) {
      answer.kind = job_store_reply_kind::kDone;
      answer.body = job->submission.items[i].body.text();
    }
  }
  return answer;
}

// Shares the texts with the board and writes job by job.
class job_table::writer final : public snapshot_writer {
 public:
  explicit writer(kept_state kept) : kept_(std::move(kept)) {}

  status Write(std::ostream& out) override {
    WritePart(out, kept_.waiting_tokens);
    WriteNumber(out, kept_.jobs.size());
    for (const auto& [id, job] : kept_.jobs) {
      WritePart(out, job);
    }
    return success{};
  }

 private:
  const kept_state kept_;
};

std::unique_ptr<snapshot_writer> job_table::BeginSnapshot() const {
  return std::make_unique<writer>(kept_);
}

status job_table::LoadSnapshot(std::istream& in) {
  kept_state read;
  if (status part = ReadPart(in, read.waiting_tokens); !IsOk(part)) {
    return part;
  }
  uint64_t count = 0;
  if (!ReadNumber(in, count)) {
    return MakeError(error_kind::kCorrupt, "job snapshot: no job count");
  }
  // Frees the old state first: both together may not fit.
  kept_ = {};
  for (uint64_t i = 0; i < count; ++i) {
    job_state job;
    if (status part = ReadPart(in, job); !IsOk(part)) {
      return part;
    }
    const job_id id = job.submission.job;
    read.jobs.emplace(id, std::move(job));
  }
  kept_ = std::move(read);
  if (on_loaded) {
    on_loaded();
  }
  return success{};
}

}  // namespace shallotport
