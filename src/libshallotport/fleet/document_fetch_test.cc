#include "fleet/document_fetch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "base/digest.h"
#include "base/random_source.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr steady_time kStart{std::chrono::hours(1)};
constexpr size_t kPiece = 10;

std::string Bytes(uint64_t version) {
  return std::string(45, 'a') + std::to_string(version);
}

document_chunk Piece(const document_read& read) {
  return {true, read.offset, Bytes(read.version).substr(read.offset, kPiece)};
}

void Offer(document_fetch& fetch, const std::string& source, uint64_t version) {
  fetch.Offer(host_id(source), version, HashOf(Bytes(version)),
              Bytes(version).size());
}

TEST(document_fetch_test, OnePieceIsUnderWayAtATime) {
  document_fetch fetch(host_id("self"));
  EXPECT_FALSE(fetch.Next(kStart));
  Offer(fetch, "a", 5);
  Offer(fetch, "b", 5);
  const auto first = fetch.Next(kStart);
  ASSERT_TRUE(first);
  EXPECT_FALSE(fetch.Next(kStart));
  EXPECT_FALSE(fetch.OnChunk(kStart, Piece(first->read)));
  const auto second = fetch.Next(kStart);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->source, first->source);
  EXPECT_EQ(second->read.offset, kPiece);
}

TEST(document_fetch_test, AnotherSourceGoesOnWhereOneFailed) {
  document_fetch fetch(host_id("self"));
  Offer(fetch, "a", 5);
  Offer(fetch, "b", 5);
  const auto first = fetch.Next(kStart);
  fetch.OnChunk(kStart, Piece(first->read));
  const auto second = fetch.Next(kStart);
  fetch.OnFailure(kStart);
  const auto third = fetch.Next(kStart);
  ASSERT_TRUE(third);
  EXPECT_NE(third->source, second->source);
  EXPECT_EQ(third->read.offset, kPiece);
  fetch.OnFailure(kStart);
  EXPECT_FALSE(fetch.Next(kStart));
  EXPECT_TRUE(fetch.Next(kStart + milliseconds(1'000)));
}

TEST(document_fetch_test, ReadsEndThoughNewerDocumentsKeepComing) {
  document_fetch fetch(host_id("self"));
  uint64_t newest = 5;
  Offer(fetch, "a", newest);
  for (int pieces = 0; pieces < 10; ++pieces) {
    const auto next = fetch.Next(kStart);
    ASSERT_TRUE(next);
    Offer(fetch, "a", ++newest);
    if (const auto whole = fetch.OnChunk(kStart, Piece(next->read))) {
      EXPECT_EQ(whole->version, 5u);
      EXPECT_EQ(whole->bytes, Bytes(5));
      EXPECT_EQ(fetch.newest_noticed(), newest);
      return;
    }
  }
  FAIL() << "not read";
}

TEST(document_fetch_test, ADocumentThatIsNoLongerHeldIsGivenUp) {
  document_fetch fetch(host_id("self"));
  Offer(fetch, "a", 5);
  ASSERT_TRUE(fetch.Next(kStart));
  fetch.OnChunk(kStart, {});
  EXPECT_FALSE(fetch.IsUnderWay());
  EXPECT_FALSE(fetch.Next(kStart));
  Offer(fetch, "a", 6);
  EXPECT_EQ(fetch.Next(kStart)->read.version, 6u);
}

TEST(document_fetch_test, WhatIsInForceIsNotRead) {
  document_fetch fetch(host_id("self"));
  Offer(fetch, "a", 5);
  const auto asked = fetch.Next(kStart);
  fetch.SetInForce(6);
  EXPECT_FALSE(fetch.OnChunk(kStart, Piece(asked->read)));
  Offer(fetch, "a", 6);
  EXPECT_FALSE(fetch.Next(kStart));
}

TEST(document_fetch_test, HostsSpreadOverTheSources) {
  std::map<std::string, int> uses;
  for (int host = 0; host < 60; ++host) {
    document_fetch fetch(host_id("10.0.0." + std::to_string(host)));
    for (const char* source : {"a", "b", "c"}) {
      Offer(fetch, source, 5);
    }
    ++uses[fetch.Next(kStart)->source.text()];
  }
  ASSERT_EQ(uses.size(), 3u);
  for (const auto& [source, count] : uses) {
    EXPECT_GE(count, 10) << source;
  }
}

// Sources answer wrongly, late, with other documents, or not at all.
TEST(document_fetch_test, NothingButAnOfferedDocumentIsTaken) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    random_source random(seed);
    document_fetch fetch(host_id("self"));
    steady_time now = kStart;
    uint64_t newest = 1;
    uint64_t in_force = 0;
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(UniformBelow(random, 300));
      if (UniformBelow(random, 4) == 0) {
        newest += UniformBelow(random, 2);
        Offer(fetch, std::string(1, "abc"[UniformBelow(random, 3)]), newest);
      }
      const auto next = fetch.Next(now);
      if (!next) {
        continue;
      }
      document_chunk chunk = Piece(next->read);
      switch (UniformBelow(random, 12)) {
        case 0:
          fetch.OnFailure(now);
          continue;
        case 1:
          chunk = {};
          break;
        case 2:
          chunk.offset += 1;
          break;
        case 3:
          chunk.bytes += "more than there is, by far, of this document";
          break;
        case 4:
          chunk.bytes.clear();
          break;
        case 5:
          chunk.bytes[0] = 'x';
          break;
        default:
          break;
      }
      if (const auto whole = fetch.OnChunk(now, chunk)) {
        EXPECT_EQ(whole->bytes, Bytes(whole->version)) << "seed " << seed;
        EXPECT_GT(whole->version, in_force) << "seed " << seed;
        in_force = whole->version;
        fetch.SetInForce(in_force);
      }
    }
    EXPECT_GT(in_force, 0u) << "seed " << seed;
  }
}

}  // namespace

}  // namespace shallotport
