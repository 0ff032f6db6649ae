// Between the messages of the administration interface (proto/admin.proto) and the library's types.
#pragma once

#include "tamarack/administered_balancer.h"
#include "tamarack/command.h"

#include "admin.pb.h"

namespace tamarack {

// Client side: the request of a command.
void set_change(const change& what, admin::SubmitRequest& request);
void set_change(const change_limits& what, admin::SubmitRequest& request);

admin::ShowHistoryRequest history_request(const show_history& query);
admin::ExplainRequest     explain_request(const explain_flow& query);

// Server side: limits that the request does not name are taken from the present configuration; the base revision is
// then that of the configuration, unless given, so that a change in between is a conflict.
result<change_request, findings> read_request(const admin::SubmitRequest& request, const configuration& present);

admin::SubmitResponse message_of(const change_result& outcome);

// Answers to the queries. The error is a message for the caller.
using no_such_name = std::string;

result<admin::ShowServicesResponse, no_such_name> answer(const admin::ShowServicesRequest& request,
                                                         administered_balancer&            balancer);
admin::ShowBalancersResponse answer(const admin::ShowBalancersRequest& request, administered_balancer& balancer);
admin::ShowHistoryResponse   answer(const admin::ShowHistoryRequest& request, administered_balancer& balancer);
admin::ShowCountersResponse  answer(const admin::ShowCountersRequest& request, administered_balancer& balancer);
admin::ShowFlowsResponse     answer(const admin::ShowFlowsRequest& request, administered_balancer& balancer);
result<admin::ExplainResponse, findings> answer(const admin::ExplainRequest& request, administered_balancer& balancer);

} // namespace tamarack
