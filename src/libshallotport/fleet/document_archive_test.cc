#include "fleet/document_archive.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "base/codec.h"
#include "base/digest.h"

namespace shallotport {

namespace {

std::string Bytes(uint64_t version) {
  std::string bytes = "version " + std::to_string(version) + "\n";
  for (int i = 0; i < 10'000; ++i) {
    bytes += "route " + std::to_string(i * 7'919) + "\n";
  }
  return bytes;
}

class document_archive_test : public testing::Test {
 protected:
  document_archive_test() {
    for (uint64_t version = 1; version <= 40; ++version) {
      archive_.Add({version, Bytes(version)});
    }
  }
  document_notice Notice(uint64_t base_version, uint64_t base_digest) {
    const auto decoded =
        Decode<document_notice>(archive_.NoticeFor(base_version, base_digest));
    return IsOk(decoded) ? ValueOf(decoded) : document_notice();
  }

  document_archive archive_;
};

struct notice_case {
  std::string name;
  uint64_t base_version = 0;
  uint64_t base_digest = 0;
  bool has_delta = false;
};

std::ostream& operator<<(std::ostream& out, const notice_case& each) {
  return out << each.name;
}

class document_notices : public document_archive_test,
                         public testing::WithParamInterface<notice_case> {};

TEST_P(document_notices, HoldADifferenceOnlyFromAKnownDocument) {
  const document_notice notice =
      Notice(GetParam().base_version, GetParam().base_digest);
  EXPECT_EQ(notice.version, 40u);
  EXPECT_EQ(notice.size, Bytes(40).size());
  EXPECT_EQ(notice.base_version != 0, GetParam().has_delta);
  if (GetParam().has_delta) {
    const auto applied =
        ApplyDelta(Bytes(GetParam().base_version), notice.delta, notice.size);
    ASSERT_TRUE(IsOk(applied));
    EXPECT_EQ(HashOf(ValueOf(applied)), notice.digest);
  }
}

INSTANTIATE_TEST_SUITE_P(
    all,
    document_notices,
    testing::Values(notice_case{"none"},
                    notice_case{"last", 39, HashOf(Bytes(39)), true},
                    notice_case{"some_before", 30, HashOf(Bytes(30)), true},
                    notice_case{"long_ago", 2, HashOf(Bytes(2))},
                    notice_case{"other_content", 39, HashOf("other")}),
    [](const auto& info) { return info.param.name; });

TEST_F(document_archive_test, LargeDifferencesAreLeftToReads) {
  archive_.Add({41, std::string(100'000, 'x')});
  EXPECT_EQ(Notice(40, HashOf(Bytes(40))).base_version, 0u);
}

TEST_F(document_archive_test, DocumentsAreReadInPieces) {
  const std::string whole = Bytes(38);
  std::string read;
  while (read.size() < whole.size()) {
    const document_chunk chunk =
        archive_.Read({38, HashOf(whole), read.size()});
    ASSERT_TRUE(chunk.is_held);
    ASSERT_FALSE(chunk.bytes.empty());
    EXPECT_LE(chunk.bytes.size(), 64u << 10);
    read += chunk.bytes;
  }
  EXPECT_EQ(read, whole);
  EXPECT_FALSE(archive_.Read({38, HashOf("other"), 0}).is_held);
  EXPECT_FALSE(archive_.Read({2, HashOf(Bytes(2)), 0}).is_held);
  EXPECT_FALSE(archive_.Read({38, HashOf(whole), whole.size() + 1}).is_held);
}

}  // namespace

}  // namespace shallotport
