// Result type for operations that can fail with a typed error. Accessing the value of an error, or the error of a
// value, terminates the process.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

namespace tamarack {

template <class Value, class Error>
using result = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

} // namespace tamarack
