#include "entry/response_buffer.h"

#include <gtest/gtest.h>

#include <list>
#include <string>

namespace shallotport {

namespace {

constexpr size_t kMiB = 1u << 20;
const std::string kPiece(8'192, 'x');

TEST(response_buffer_test, EndlessBodiesOfManyResponsesStayWithinTheBudget) {
  memory_budget budget(40 * kMiB);
  std::list<response_buffer> buffers;
  for (int i = 0; i < 30; ++i) {
    buffers.emplace_back(&budget);
  }
  for (size_t read = 0; read < 12 * kMiB; read += kPiece.size()) {
    for (response_buffer& each : buffers) {
      each.Append(kPiece);
      ASSERT_LE(budget.held(), 48 * kMiB);
    }
  }
  buffers.clear();
  EXPECT_EQ(budget.held(), 0u);
}

TEST(response_buffer_test, SmallBodiesAreKeptWhileMemoryIsUsedUp) {
  memory_budget budget(kMiB);
  held_bytes others(&budget);
  others.Set(kMiB);
  response_buffer small(&budget);
  small.Append(kPiece);
  EXPECT_FALSE(small.is_cut());
  EXPECT_EQ(small.bytes(), kPiece);
  response_buffer large(&budget);
  for (int i = 0; i < 20; ++i) {
    large.Append(kPiece);
  }
  EXPECT_TRUE(large.is_cut());
  EXPECT_TRUE(large.bytes().empty());
}

TEST(response_buffer_test, LongBodyIsCutWithoutABudget) {
  response_buffer buffer;
  for (size_t read = 0; read <= 16 * kMiB; read += kPiece.size()) {
    buffer.Append(kPiece);
  }
  EXPECT_TRUE(buffer.is_cut());
  EXPECT_TRUE(buffer.bytes().empty());
}

}  // namespace

}  // namespace shallotport
