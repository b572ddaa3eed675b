#include "base/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <string>

namespace shallotport {

void StartLog(std::string_view process) {
  namespace expr = boost::log::expressions;
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::clog, boost::log::keywords::auto_flush = true,
      boost::log::keywords::format =
          (expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " " << boost::log::trivial::severity << " "
                        << std::string(process) << " " << expr::smessage));
}

void LogStateChange(std::string_view duty, std::string_view text) {
  BOOST_LOG_TRIVIAL(info) << duty << ": " << text;
}

void LogWarning(std::string_view duty, std::string_view text) {
  BOOST_LOG_TRIVIAL(warning) << duty << ": " << text;
}

}  // namespace shallotport
