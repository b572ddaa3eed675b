#ifndef SHALLOTPORT_DEPLOY_CONFIGURATION_BUILDER_H_
#define SHALLOTPORT_DEPLOY_CONFIGURATION_BUILDER_H_

#include <string>

#include "base/result.h"
#include "control/configuration.h"
#include "deploy/account_builder.h"
#include "deploy/service_builder.h"

namespace shallotport {

// Collects accounts and services into the configuration of one deployment, for
// programs whose output `shallotctl apply` puts into force.
class configuration_builder {
 public:
  configuration_builder& Add(const account_builder& account);
  configuration_builder& Add(const service_builder& service);

  // The checked configuration. On failure the detail has one line for every
  // problem, "KEY (ID): problem; expected ...".
  result<configuration> Build() const;

 private:
  configuration config_;
};

// Prints the configuration's YAML on standard output, or the problems on
// standard error. Gives the exit code for main().
int PrintOrExplain(const result<configuration>& built);

}  // namespace shallotport

#endif  // SHALLOTPORT_DEPLOY_CONFIGURATION_BUILDER_H_
