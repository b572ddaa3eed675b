#include "jobstore/job_table.h"

#include <algorithm>
#include <cstring>
#include <istream>
#include <ostream>
#include <utility>

#include "base/codec.h"

namespace shallotport {

namespace {

// Jobs stay readable this long after their submission: the two minutes promised
// to callers and a margin for clocks that jump.
constexpr wall_milliseconds kJobRetentionMs = 180'000;
constexpr size_t kMaxReplyBytes = 900u << 10;

// A snapshot is a sequence of parts, each preceded by its length.
void WriteUint64(std::ostream& out, uint64_t number) {
  char bytes[sizeof(number)];
  std::memcpy(bytes, &number, sizeof(number));
  out.write(bytes, sizeof(bytes));
}

bool ReadUint64(std::istream& in, uint64_t& number) {
  char bytes[sizeof(number)];
  if (!in.read(bytes, sizeof(bytes))) {
    return false;
  }
  std::memcpy(&number, bytes, sizeof(number));
  return true;
}

// Upper bound on a part: the commands that make up a job are smaller.
constexpr uint64_t kMaxPartBytes = 64u << 20;

template <typename T>
status ReadPart(std::istream& in, T& part) {
  uint64_t size = 0;
  if (!ReadUint64(in, size) || size > kMaxPartBytes) {
    return MakeError(error_kind::kCorrupt,
                     "job snapshot: part length missing or too large");
  }
  std::string bytes(size, '\0');
  if (!in.read(bytes.data(), static_cast<std::streamsize>(size))) {
    return MakeError(error_kind::kCorrupt, "job snapshot: truncated part");
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
  WriteUint64(out, bytes.size());
  out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}

// True if a text fits the item's committed progress. After its lease lapsed, a
// leader may have resumed an item from older progress than is committed by now,
// or have let it begin anew.
bool FitsProgress(const job_table::item_state& item,
                  const std::string& base_event,
                  const stream_origin& origin,
                  bool is_restart) {
  return base_event == item.last_event &&
         (is_restart || !item.origin || *item.origin == origin);
}

}  // namespace

std::string EncodeJobCommand(const job_command& command) {
  return Encode(command);
}

std::string job_table::Apply(const apply_context& context,
                             std::string_view command) {
  auto decoded = Decode<job_command>(command);
  job_store_reply reply;
  if (!IsOk(decoded)) {
    return Encode(reply);  // A malformed command has no effect.
  }
  job_command& request = ValueOf(decoded);
  switch (request.kind) {
    case job_command_kind::kSubmit:
      reply.kind = Submit(context, std::move(request.submission));
      break;
    case job_command_kind::kRecord:
      reply.kind = Record(request);
      break;
    case job_command_kind::kRecordFailure:
      reply.kind = RecordFailure(request);
      break;
    case job_command_kind::kCancel:
      reply.kind = Cancel(request.job);
      break;
    case job_command_kind::kProgress:
      reply.kind = Progress(request);
      break;
  }
  if (on_changed) {
    on_changed(request.job);
  }
  return Encode(reply);
}

job_store_reply_kind job_table::Submit(const apply_context& context,
                                       job_submission&& submission) {
  RemoveExpired(context.leader_time);
  if (state_.jobs.contains(submission.job)) {
    return job_store_reply_kind::kDone;  // Acknowledge a repeated submission.
  }
  uint64_t tokens = 0;
  for (const job_item& item : submission.items) {
    tokens += item.tokens;
  }
  uint64_t& waiting = state_.waiting_tokens[submission.route];
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
  state_.jobs.emplace(id, std::move(job));
  return job_store_reply_kind::kDone;
}

job_store_reply_kind job_table::Record(const job_command& command) {
  const auto found = state_.jobs.find(command.job);
  if (found == state_.jobs.end() ||
      command.item_index >= found->second.items.size()) {
    return job_store_reply_kind::kNotFound;
  }
  job_state& job = found->second;
  item_state& item = job.items[command.item_index];
  if (item.has_result) {
    return job_store_reply_kind::kDone;  // The first result stands.
  }
  if (command.result.is_completed &&
      !FitsProgress(item, command.base_event, command.origin,
                    command.is_restart)) {
    return job_store_reply_kind::kConflict;
  }
  item.has_result = true;
  if (!job.is_cancelled) {
    ReleaseWaitingTokens(job, command.item_index);
  }
  item_result result = command.result;
  result.item_id = job.submission.items[command.item_index].id;
  if (result.is_completed) {
    std::string text = command.is_restart ? "" : item.text;
    text += result.text.text();
    if (!text.empty()) {
      text.pop_back();  // Line feeds separate events.
    }
    result.text = std::move(text);
  }
  item.text.clear();
  item.text.shrink_to_fit();
  job.results.push_back(std::move(result));
  job.submission.items[command.item_index].body.Clear();
  return job_store_reply_kind::kDone;
}

job_store_reply_kind job_table::RecordFailure(const job_command& command) {
  const auto found = state_.jobs.find(command.job);
  if (found == state_.jobs.end() ||
      command.item_index >= found->second.items.size()) {
    return job_store_reply_kind::kNotFound;
  }
  ++found->second.items[command.item_index].failures;
  return job_store_reply_kind::kDone;
}

job_store_reply_kind job_table::Progress(const job_command& command) {
  for (const job_progress& each : command.progress) {
    const auto found = state_.jobs.find(each.job);
    if (found == state_.jobs.end()) {
      continue;
    }
    for (const item_progress& progress : each.items) {
      const bool is_open = progress.item_index < found->second.items.size() &&
                           !found->second.items[progress.item_index].has_result;
      if (!is_open) {
        continue;
      }
      item_state& item = found->second.items[progress.item_index];
      if (!FitsProgress(item, progress.base_event, progress.origin,
                        progress.is_restart)) {
        continue;
      }
      if (progress.is_restart) {
        item.text.clear();
      }
      item.text += progress.text;
      item.last_event = progress.last_event;
      item.origin = progress.origin;
    }
  }
  return job_store_reply_kind::kDone;
}

job_store_reply_kind job_table::Cancel(const job_id& id) {
  const auto found = state_.jobs.find(id);
  if (found == state_.jobs.end()) {
    return job_store_reply_kind::kNotFound;
  }
  job_state& job = found->second;
  if (std::exchange(job.is_cancelled, true)) {
    return job_store_reply_kind::kDone;
  }
  for (uint32_t i = 0; i < job.items.size(); ++i) {
    if (!job.items[i].has_result) {
      ReleaseWaitingTokens(job, i);
    }
  }
  return job_store_reply_kind::kDone;
}

void job_table::ReleaseWaitingTokens(const job_state& job, uint32_t item) {
  uint64_t& waiting = state_.waiting_tokens[job.submission.route];
  waiting -= std::min(waiting, job.submission.items[item].tokens);
}

void job_table::RemoveExpired(wall_milliseconds now) {
  std::erase_if(state_.jobs, [now](const auto& each) {
    return !each.second.IsOpen() &&
           now > each.second.accepted_at + kJobRetentionMs;
  });
}

std::string job_table::Query(std::string_view) const {
  return {};
}

const job_table::job_state* job_table::Find(const job_id& job) const {
  const auto found = state_.jobs.find(job);
  return found == state_.jobs.end() ? nullptr : &found->second;
}

uint64_t job_table::WaitingTokens(const std::string& route) const {
  const auto found = state_.waiting_tokens.find(route);
  return found == state_.waiting_tokens.end() ? 0 : found->second;
}

job_store_reply job_table::Read(const job_id& id,
                                uint32_t start_position) const {
  job_store_reply reply;
  const job_state* job = Find(id);
  if (job == nullptr) {
    reply.kind = job_store_reply_kind::kNotFound;
    return reply;
  }
  reply.kind = job_store_reply_kind::kDone;
  reply.total = static_cast<uint32_t>(job->items.size());
  size_t bytes = 0;
  for (size_t i = start_position; i < job->results.size(); ++i) {
    bytes += job->results[i].text.text().size() +
             job->results[i].item_id.size() + 64;
    if (!reply.results.empty() && bytes > kMaxReplyBytes) {
      break;
    }
    reply.results.push_back(job->results[i]);
  }
  return reply;
}

job_store_reply job_table::ReadItem(const job_id& id,
                                    const std::string& item_id) const {
  job_store_reply reply;
  reply.kind = job_store_reply_kind::kNotFound;
  const job_state* job = Find(id);
  if (job == nullptr || job->is_cancelled) {
    return reply;
  }
  for (size_t i = 0; i < job->items.size(); ++i) {
    if (job->submission.items[i].id == item_id && !job->items[i].has_result) {
      reply.kind = job_store_reply_kind::kDone;
      reply.body = job->submission.items[i].body.text();
    }
  }
  return reply;
}

// Shares the texts with the table and writes one job at a time.
class job_table::writer final : public snapshot_writer {
 public:
  explicit writer(table_state state) : state_(std::move(state)) {}

  status Write(std::ostream& out) override {
    WritePart(out, state_.waiting_tokens);
    WriteUint64(out, state_.jobs.size());
    for (const auto& [id, job] : state_.jobs) {
      WritePart(out, job);
    }
    return success{};
  }

 private:
  const table_state state_;
};

std::unique_ptr<snapshot_writer> job_table::BeginSnapshot() const {
  return std::make_unique<writer>(state_);
}

status job_table::LoadSnapshot(std::istream& in) {
  table_state read;
  if (status part = ReadPart(in, read.waiting_tokens); !IsOk(part)) {
    return part;
  }
  uint64_t count = 0;
  if (!ReadUint64(in, count)) {
    return MakeError(error_kind::kCorrupt, "job snapshot: job count missing");
  }
  // Frees the old state first: memory may not suffice for both.
  state_ = {};
  for (uint64_t i = 0; i < count; ++i) {
    job_state job;
    if (status part = ReadPart(in, job); !IsOk(part)) {
      return part;
    }
    const job_id id = job.submission.job;
    read.jobs.emplace(id, std::move(job));
  }
  state_ = std::move(read);
  if (on_loaded) {
    on_loaded();
  }
  return success{};
}

}  // namespace shallotport
