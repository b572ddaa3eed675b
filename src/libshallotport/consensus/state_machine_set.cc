#include "consensus/state_machine_set.h"

#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <utility>

#include "base/codec.h"
#include "consensus/snapshot_stream.h"
#include "storage/snapshot_file_reader.h"
#include "storage/snapshot_file_writer.h"

namespace shallotport {

namespace {

// Record kinds of snapshot files: part of the file format, never reused.
constexpr uint8_t kPointRecord = 1;
constexpr uint8_t kSessionsRecord = 2;
constexpr uint8_t kSliceRecord = 3;  // Payload: the slice's number.
constexpr uint8_t kDataRecord = 4;   // A part of the slice's state.

error Malformed(const std::string& what) {
  return MakeError(error_kind::kCorrupt, "snapshot: " + what);
}

result<snapshot_record> ReadRecord(snapshot_file_reader& reader, uint8_t kind) {
  auto record = reader.Next();
  if (IsOk(record) && ValueOf(record).kind != kind) {
    return Malformed("record of kind " + std::to_string(ValueOf(record).kind) +
                     " in place of " + std::to_string(kind));
  }
  return record;
}

result<snapshot_point> ReadPoint(snapshot_file_reader& reader) {
  const auto record = ReadRecord(reader, kPointRecord);
  if (!IsOk(record)) {
    return ErrorOf(record);
  }
  return Decode<snapshot_point>(ValueOf(record).payload);
}

status WriteSessions(snapshot_file_writer& file, std::string_view sessions) {
  snapshot_output_buffer buffer(file, kSessionsRecord);
  std::ostream out(&buffer);
  out.write(sessions.data(), static_cast<std::streamsize>(sessions.size()));
  return buffer.Finish();
}

status WriteSlice(snapshot_file_writer& file,
                  replicated_slice slice,
                  snapshot_writer& writer) {
  if (status put = file.Append(kSliceRecord, Encode(slice)); !IsOk(put)) {
    return put;
  }
  snapshot_output_buffer buffer(file, kDataRecord);
  std::ostream out(&buffer);
  if (status written = writer.Write(out); !IsOk(written)) {
    return written;
  }
  return buffer.Finish();
}

}  // namespace

void state_machine_set::Register(replicated_slice slice,
                                 replicated_state* state) {
  states_[slice] = state;
}

result<std::string> state_machine_set::Apply(const log_entry& entry) {
  const proposal& content = entry.content;
  const bool has_origin = !content.origin.host.IsEmpty();
  if (has_origin) {
    const auto checked = sessions_.Check(content.origin);
    if (checked == session_table::proposal_status::kDuplicate) {
      ++duplicates_;
      return sessions_.RecordedReply(content.origin);
    }
    if (checked == session_table::proposal_status::kStale) {
      ++stale_commands_;
      return MakeError(error_kind::kOutcomeUnknown,
                       "a later proposal of its lane was applied before");
    }
  }
  const auto state = states_.find(content.slice);
  if (state == states_.end()) {
    return MakeError(error_kind::kInvalidRequest, "no such slice");
  }
  ++applied_;
  std::string reply =
      state->second->Apply({entry.index, entry.leader_time}, content.command);
  if (has_origin) {
    sessions_.Record(content.origin, entry.index, reply);
  }
  return reply;
}

result<std::string> state_machine_set::Query(replicated_slice slice,
                                             std::string_view query) const {
  const auto state = states_.find(slice);
  if (state == states_.end()) {
    return MakeError(error_kind::kInvalidRequest, "no such slice");
  }
  return state->second->Query(query);
}

void state_machine_set::WriteStates(nlohmann::json& out) const {
  for (const auto& [slice, state] : states_) {
    nlohmann::json dump = nlohmann::json::object();
    state->WriteState(dump);
    if (dump.contains("counters")) {
      out["counters"].update(dump["counters"]);
      dump.erase("counters");
    }
    out["states"][std::to_string(static_cast<int>(slice))] = std::move(dump);
  }
}

state_snapshot state_machine_set::BeginSnapshot(snapshot_point point) const {
  state_snapshot snapshot;
  snapshot.point = std::move(point);
  snapshot.sessions = EncodeSessions(sessions_);
  for (const auto& [slice, state] : states_) {
    snapshot.writers[slice] = state->BeginSnapshot();
  }
  return snapshot;
}

result<snapshot_point> state_machine_set::Load(const snapshot_folder& folder,
                                               uint32_t group,
                                               log_index index) {
  auto opened = snapshot_file_reader::Open(folder.files(), folder.PathOf(index),
                                           group, index);
  if (!IsOk(opened)) {
    return ErrorOf(opened);
  }
  snapshot_file_reader& reader = ValueOf(opened);
  if (status verified = reader.Verify(); !IsOk(verified)) {
    return ErrorOf(verified);
  }
  auto point = ReadPoint(reader);
  if (!IsOk(point)) {
    return point;
  }
  snapshot_input_buffer encoded(reader, kSessionsRecord);
  std::ostringstream joined;
  joined << &encoded;
  auto sessions = Decode<session_table>(joined.view());
  if (!IsOk(sessions)) {
    return ErrorOf(sessions);
  }
  auto record = encoded.TakeFollowing();
  while (IsOk(record) && ValueOf(record).kind == kSliceRecord) {
    const auto slice = Decode<replicated_slice>(ValueOf(record).payload);
    if (!IsOk(slice) || !states_.contains(ValueOf(slice))) {
      return Malformed("holds a slice that this program does not know");
    }
    snapshot_input_buffer buffer(reader, kDataRecord);
    std::istream in(&buffer);
    const status loaded = states_.at(ValueOf(slice))->LoadSnapshot(in);
    if (!IsOk(loaded)) {
      return ErrorOf(loaded);
    }
    record = buffer.TakeFollowing();
  }
  if (!IsOk(record)) {
    return ErrorOf(record);
  }
  if (ValueOf(record).kind != kSnapshotEndRecord) {
    return Malformed("unknown kind of record");
  }
  sessions_ = std::move(ValueOf(sessions));
  return point;
}

result<uint64_t> WriteSnapshotFile(const snapshot_folder& folder,
                                   uint32_t group,
                                   state_snapshot& snapshot) {
  auto created =
      snapshot_file_writer::Create(folder, group, snapshot.point.index);
  if (!IsOk(created)) {
    return ErrorOf(created);
  }
  snapshot_file_writer& file = *ValueOf(created);
  if (status put = file.Append(kPointRecord, Encode(snapshot.point));
      !IsOk(put)) {
    return ErrorOf(put);
  }
  if (status put = WriteSessions(file, snapshot.sessions); !IsOk(put)) {
    return ErrorOf(put);
  }
  for (const auto& [slice, writer] : snapshot.writers) {
    if (status put = WriteSlice(file, slice, *writer); !IsOk(put)) {
      return ErrorOf(put);
    }
  }
  if (status committed = file.Commit(); !IsOk(committed)) {
    return ErrorOf(committed);
  }
  return file.size();
}

}  // namespace shallotport
