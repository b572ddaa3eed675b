#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "storage/fake_file_system_test_util.h"
#include "storage/file_header.h"
#include "storage/incoming_snapshot.h"
#include "storage/payload_store.h"
#include "storage/record_frame.h"
#include "storage/snapshot_file_reader.h"
#include "storage/snapshot_file_writer.h"
#include "storage/write_ahead_log.h"

namespace shallotport {
namespace {

constexpr char kFolder[] = "/data";
constexpr char kFirstSegment[] = "/data/log-0000000001.wal";

struct opened_log {
  result<std::unique_ptr<write_ahead_log>> log;
  std::vector<std::string> payloads;
};

opened_log OpenLog(fake_file_system& files, uint32_t segment_bytes = 1 << 20) {
  std::vector<std::string> payloads;
  auto log = write_ahead_log::Open(files, {kFolder, 1, segment_bytes},
                                   [&](const log_record& record) {
                                     payloads.push_back(record.payload);
                                     return status(success{});
                                   });
  return {std::move(log), std::move(payloads)};
}

// Writes each payload with a sync of its own.
void WriteAll(fake_file_system& files,
              const std::vector<std::string>& payloads,
              uint32_t segment_bytes = 1 << 20) {
  const opened_log opened = OpenLog(files, segment_bytes);
  ASSERT_TRUE(IsOk(opened.log));
  write_ahead_log& log = *ValueOf(opened.log);
  for (const std::string& payload : payloads) {
    log.Append(1, payload);
    ASSERT_TRUE(IsOk(log.Sync()));
    if (log.IsSegmentFull()) {
      ASSERT_TRUE(IsOk(log.StartSegment()));
    }
  }
}

using lines = std::vector<std::string>;

TEST(write_ahead_log_test, ReadsBackAcrossSegments) {
  fake_file_system files;
  const lines written = {"one", std::string(300, 'x'), "", "four"};
  WriteAll(files, written, 200);
  const opened_log opened = OpenLog(files, 200);
  ASSERT_TRUE(IsOk(opened.log));
  EXPECT_EQ(opened.payloads, written);
  EXPECT_GT(ValueOf(opened.log)->current_segment(), 1u);
}

TEST(write_ahead_log_test, ReadsASingleRecordBack) {
  fake_file_system files;
  const opened_log opened = OpenLog(files);
  write_ahead_log& log = *ValueOf(opened.log);
  const log_position synced = log.Append(7, "synced");
  ASSERT_TRUE(IsOk(log.Sync()));
  const log_position gathered = log.Append(8, "gathered");
  EXPECT_EQ(ValueOf(log.Read(synced)).payload, "synced");
  EXPECT_EQ(ValueOf(log.Read(gathered)).payload, "gathered");
}

// What the disk did to the first segment of a log with three synced records.
struct damage_case {
  const char* name;
  std::function<void(std::string& bytes)> damage;
  bool is_refused;
  size_t kept;  // Records, when it is not refused.
};

constexpr size_t kRecord = kFrameHeaderBytes + 3;

const damage_case kDamageCases[] = {
    {"untouched", [](std::string&) {}, false, 3},
    {"last_byte_missing", [](std::string& b) { b.pop_back(); }, false, 2},
    {"last_record_header_cut",
     [](std::string& b) { b.resize(kFileHeaderBytes + 2 * kRecord + 5); },
     false, 2},
    {"tail_of_zeros", [](std::string& b) { b.append(100, '\0'); }, false, 3},
    {"tail_of_garbage", [](std::string& b) { b.append(100, 'Z'); }, false, 3},
    {"last_record_flipped", [](std::string& b) { b.back() ^= 1; }, false, 2},
    {"first_record_flipped",
     [](std::string& b) { b[kFileHeaderBytes + kRecord - 1] ^= 1; }, true, 0},
    {"first_length_damaged",
     [](std::string& b) { b[kFileHeaderBytes + 4] ^= 0x40; }, true, 0},
    {"middle_record_zeroed",
     [](std::string& b) {
       b.replace(kFileHeaderBytes + kRecord, kRecord, kRecord, '\0');
     },
     true, 0},
    {"header_flipped", [](std::string& b) { b[9] ^= 1; }, true, 0},
    {"other_group", [](std::string& b) { b[12] ^= 1; }, true, 0},
    {"header_cut_short", [](std::string& b) { b.resize(10); }, false, 0},
};

class log_damage_test : public testing::TestWithParam<damage_case> {};

TEST_P(log_damage_test, TornTailIsCutAndOtherDamageRefused) {
  fake_file_system files;
  WriteAll(files, {"aaa", "bbb", "ccc"});
  GetParam().damage(files.BytesOf(kFirstSegment));
  const opened_log opened = OpenLog(files);
  ASSERT_EQ(!IsOk(opened.log), GetParam().is_refused);
  if (GetParam().is_refused) {
    EXPECT_EQ(ErrorOf(opened.log).kind, error_kind::kCorrupt);
    EXPECT_NE(ErrorOf(opened.log).detail.find(kFirstSegment),
              std::string::npos);
    EXPECT_NE(ErrorOf(opened.log).detail.find("offset"), std::string::npos);
    return;
  }
  const lines all = {"aaa", "bbb", "ccc"};
  EXPECT_EQ(opened.payloads, lines(all.begin(), all.begin() + GetParam().kept));
  // The cut log goes on and is whole again.
  ValueOf(opened.log)->Append(1, "ddd");
  ASSERT_TRUE(IsOk(ValueOf(opened.log)->Sync()));
  const opened_log again = OpenLog(files);
  ASSERT_TRUE(IsOk(again.log));
  EXPECT_EQ(again.payloads.size(), GetParam().kept + 1);
}

INSTANTIATE_TEST_SUITE_P(damage,
                         log_damage_test,
                         testing::ValuesIn(kDamageCases),
                         [](const auto& info) { return info.param.name; });

TEST(write_ahead_log_test, RefusesADamagedEndOfAnOlderSegment) {
  fake_file_system files;
  WriteAll(files, {std::string(300, 'x'), "b"}, 200);
  files.BytesOf(kFirstSegment).pop_back();
  const opened_log opened = OpenLog(files, 200);
  ASSERT_FALSE(IsOk(opened.log));
  EXPECT_NE(ErrorOf(opened.log).detail.find("at offset 32"), std::string::npos);
}

TEST(write_ahead_log_test, RefusesAMissingSegment) {
  fake_file_system files;
  WriteAll(files, {std::string(300, 'x'), std::string(300, 'y'), "z"}, 200);
  files.Remove("/data/log-0000000002.wal");
  EXPECT_FALSE(IsOk(OpenLog(files, 200).log));
}

TEST(write_ahead_log_test, FullDiskCanBeTriedAgain) {
  fake_file_system files;
  opened_log opened = OpenLog(files);
  write_ahead_log& log = *ValueOf(opened.log);
  log.Append(1, "one");
  ASSERT_TRUE(IsOk(log.Sync()));
  files.SetCapacity(files.used_bytes() + 5);
  log.Append(1, "two");
  const status full = log.Sync();
  ASSERT_FALSE(IsOk(full));
  EXPECT_EQ(ErrorOf(full).kind, error_kind::kStorageFull);
  log.Append(1, "three");
  files.SetCapacity(UINT64_MAX);
  ASSERT_TRUE(IsOk(log.Sync()));
  EXPECT_EQ(OpenLog(files).payloads, (lines{"one", "two", "three"}));
}

TEST(write_ahead_log_test, FailedSyncIsFinal) {
  fake_file_system files;
  opened_log opened = OpenLog(files);
  write_ahead_log& log = *ValueOf(opened.log);
  files.FailSyncs(1);
  log.Append(1, "one");
  const status failed = log.Sync();
  ASSERT_FALSE(IsOk(failed));
  EXPECT_EQ(ErrorOf(failed).kind, error_kind::kStorageFailed);
  EXPECT_FALSE(IsOk(log.Sync()));
}

// Crashes at random moments: all that was synced comes back, in order, and
// what follows it is a beginning of what was written.
TEST(write_ahead_log_test, CrashKeepsWhatWasSynced) {
  for (uint64_t seed = 0; seed < 300; ++seed) {
    random_source random(seed);
    fake_file_system files;
    lines written;
    size_t synced = 0;
    for (int life = 0; life < 4; ++life) {
      opened_log opened = OpenLog(files, 400);
      ASSERT_TRUE(IsOk(opened.log))
          << "seed " << seed << ": " << ErrorOf(opened.log).detail;
      ASSERT_GE(opened.payloads.size(), synced) << "seed " << seed;
      ASSERT_LE(opened.payloads.size(), written.size()) << "seed " << seed;
      written.resize(opened.payloads.size());
      ASSERT_EQ(opened.payloads, written) << "seed " << seed;
      synced = written.size();
      write_ahead_log& log = *ValueOf(opened.log);
      const uint64_t steps = UniformBelow(random, 20);
      for (uint64_t i = 0; i < steps; ++i) {
        written.emplace_back(UniformBelow(random, 60), 'a' + life);
        log.Append(1, written.back());
        if (UniformBelow(random, 3) == 0) {
          ASSERT_TRUE(IsOk(log.Sync()));
          synced = written.size();
          if (log.IsSegmentFull()) {
            ASSERT_TRUE(IsOk(log.StartSegment()));
          }
        }
      }
      opened.log = MakeError(error_kind::kInternal, "closed");
      files.Crash(random);
    }
  }
}

// Old segments were removed without a sync of their folder: a power loss left a
// gap, and the log was refused for good.
TEST(write_ahead_log_test, PowerLossAfterRemovalsLeavesNoGap) {
  for (uint64_t seed = 0; seed < 200; ++seed) {
    random_source random(seed);
    fake_file_system files;
    WriteAll(files, lines(8, std::string(300, 'x')), 200);
    uint32_t kept = 0;
    {
      const opened_log opened = OpenLog(files, 200);
      ASSERT_TRUE(IsOk(opened.log));
      write_ahead_log& log = *ValueOf(opened.log);
      kept = 2 + static_cast<uint32_t>(UniformBelow(random, 6));
      ASSERT_TRUE(IsOk(log.RemoveSegmentsBefore(kept)));
    }
    files.CrashEachName(random);
    const opened_log opened = OpenLog(files, 200);
    ASSERT_TRUE(IsOk(opened.log))
        << "seed " << seed << ": " << ErrorOf(opened.log).detail;
    EXPECT_GE(opened.payloads.size(), 8u - (kept - 1)) << "seed " << seed;
  }
}

// As earlier builds left it.
TEST(write_ahead_log_test, LogBeginsAfterAGapWhereThatIsAsked) {
  fake_file_system files;
  WriteAll(files,
           {"1-" + std::string(300, 'x'), "2-" + std::string(300, 'x'),
            "3-" + std::string(300, 'x'), "4"},
           200);
  ASSERT_TRUE(IsOk(files.Remove("/data/log-0000000002.wal")));
  lines read;
  const auto opened = write_ahead_log::Open(
      files, {kFolder, 1, 200, true}, [&](const log_record& record) {
        read.push_back(record.payload.substr(0, 1));
        return status(success{});
      });
  ASSERT_TRUE(IsOk(opened));
  EXPECT_EQ(read, (lines{"3", "4"}));
  EXPECT_TRUE(ValueOf(opened)->has_leftovers());
  ASSERT_TRUE(IsOk(ValueOf(opened)->RemoveLeftovers()));
  EXPECT_FALSE(files.Exists(kFirstSegment));
  EXPECT_TRUE(IsOk(OpenLog(files, 200).log));
}

std::string SnapshotPath(uint64_t index) {
  fake_file_system files;
  return snapshot_folder(files, kFolder).PathOf(index);
}

void WriteSnapshot(fake_file_system& files, uint64_t index) {
  const snapshot_folder folder(files, kFolder);
  auto writer = snapshot_file_writer::Create(folder, 1, index);
  ASSERT_TRUE(IsOk(writer));
  ASSERT_TRUE(IsOk(ValueOf(writer)->Append(1, "state")));
  ASSERT_TRUE(IsOk(ValueOf(writer)->Commit()));
}

TEST(snapshot_test, PublishedSnapshotSurvivesACrash) {
  random_source random(1);
  for (int i = 0; i < 20; ++i) {
    fake_file_system files;
    WriteSnapshot(files, 5);
    files.Crash(random);
    const snapshot_folder folder(files, kFolder);
    ASSERT_EQ(ValueOf(folder.List()), std::vector<uint64_t>{5});
    auto reader = snapshot_file_reader::Open(files, folder.PathOf(5), 1, 5);
    ASSERT_TRUE(IsOk(reader));
    EXPECT_TRUE(IsOk(ValueOf(reader).Verify()));
    EXPECT_EQ(ValueOf(ValueOf(reader).Next()).payload, "state");
  }
}

TEST(snapshot_test, UnfinishedSnapshotIsNoSnapshot) {
  fake_file_system files;
  const snapshot_folder folder(files, kFolder);
  const std::string left = folder.TemporaryPathOf(9, "taken");
  ASSERT_TRUE(IsOk(files.Open(left)));
  EXPECT_TRUE(ValueOf(folder.List()).empty());
  ASSERT_TRUE(IsOk(folder.RemoveTemporaries()));
  EXPECT_FALSE(files.Exists(left));
}

TEST(snapshot_test, DamageIsRefusedWithFileAndOffset) {
  fake_file_system files;
  WriteSnapshot(files, 5);
  const std::string whole = files.BytesOf(SnapshotPath(5));
  for (size_t at = 0; at < whole.size(); ++at) {
    files.BytesOf(SnapshotPath(5)) = whole;
    files.BytesOf(SnapshotPath(5))[at] ^= 4;
    auto reader = snapshot_file_reader::Open(files, SnapshotPath(5), 1, 5);
    const status checked =
        IsOk(reader) ? ValueOf(reader).Verify() : status(ErrorOf(reader));
    ASSERT_FALSE(IsOk(checked)) << "byte " << at;
    EXPECT_NE(ErrorOf(checked).detail.find(SnapshotPath(5)), std::string::npos);
  }
}

TEST(snapshot_test, ChunksMayRepeatOrComeTooEarly) {
  fake_file_system files;
  WriteSnapshot(files, 5);
  const std::string bytes = files.BytesOf(SnapshotPath(5));
  fake_file_system other;
  const snapshot_folder folder(other, kFolder);
  auto incoming = incoming_snapshot::Create(folder, 1, 5);
  ASSERT_TRUE(IsOk(incoming));
  incoming_snapshot& file = *ValueOf(incoming);
  EXPECT_TRUE(IsOk(file.Append(20, bytes.substr(20, 10))));
  EXPECT_EQ(file.size(), 0u);
  EXPECT_TRUE(IsOk(file.Append(0, bytes.substr(0, 20))));
  EXPECT_TRUE(IsOk(file.Append(0, bytes.substr(0, 20))));
  EXPECT_FALSE(IsOk(file.Commit()));
  EXPECT_TRUE(IsOk(file.Append(10, bytes.substr(10))));
  EXPECT_EQ(file.size(), bytes.size());
  EXPECT_TRUE(IsOk(file.Commit()));
  EXPECT_EQ(ValueOf(folder.List()), std::vector<uint64_t>{5});
}

TEST(payload_store_test, ReleasedSegmentsAreDeletedOnceNotHeld) {
  fake_file_system files;
  auto opened = payload_store::Open("/payloads", &files, 100);
  ASSERT_TRUE(IsOk(opened));
  payload_store& store = *ValueOf(opened);
  std::vector<payload_ref> refs;
  refs.reserve(10);
  for (int i = 0; i < 10; ++i) {
    refs.push_back(ValueOf(store.Append(std::string(60, 'a' + i))));
  }
  EXPECT_EQ(ValueOf(store.Read(refs[3])), std::string(60, 'd'));
  {
    const auto held = store.Hold();
    store.Release(refs[0]);
    store.Release(refs[1]);
    EXPECT_TRUE(IsOk(store.Read(refs[1])));
  }
  store.Release(refs[2]);
  store.Release(refs[3]);
  EXPECT_FALSE(IsOk(store.Read(refs[1])));
  EXPECT_FALSE(IsOk(store.Read(refs[3])));
  EXPECT_TRUE(IsOk(store.Read(refs[4])));
  EXPECT_EQ(ValueOf(files.List("/payloads")).size(), 3u);
}

TEST(payload_store_test, FullDiskLeavesNoHalfPayload) {
  fake_file_system files;
  auto opened = payload_store::Open("/payloads", &files, 1000);
  payload_store& store = *ValueOf(opened);
  ASSERT_TRUE(IsOk(store.Append("first")));
  files.SetCapacity(files.used_bytes() + 3);
  const auto refused = store.Append("second");
  ASSERT_FALSE(IsOk(refused));
  EXPECT_EQ(ErrorOf(refused).kind, error_kind::kStorageFull);
  files.SetCapacity(UINT64_MAX);
  const auto third = store.Append("third");
  EXPECT_EQ(ValueOf(store.Read(ValueOf(third))), "third");
}

}  // namespace
}  // namespace shallotport
