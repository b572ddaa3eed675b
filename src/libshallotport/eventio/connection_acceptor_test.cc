#include "eventio/connection_acceptor.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace shallotport {

namespace {

// An acceptor whose port was taken could not listen on any other one.
TEST(connection_acceptor_test, ListensAfterItsPortWasTaken) {
  boost::asio::io_context loop;
  const auto ignore = [](boost::asio::ip::tcp::socket) {};
  connection_acceptor first(loop, ignore);
  ASSERT_TRUE(IsOk(first.Listen("127.0.0.1", 0)));
  ASSERT_NE(first.port(), 0);
  connection_acceptor second(loop, ignore);
  EXPECT_FALSE(IsOk(second.Listen("127.0.0.1", first.port())));
  EXPECT_EQ(second.port(), 0);
  EXPECT_TRUE(IsOk(second.Listen("127.0.0.1", 0)));
  EXPECT_NE(second.port(), first.port());
}

}  // namespace

}  // namespace shallotport
