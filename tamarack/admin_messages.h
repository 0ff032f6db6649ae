// Conversion between the messages of the administration interface (proto/admin.proto) and the library's types.
#pragma once

#include "tamarack/administered_balancer.h"
#include "tamarack/command.h"

#include "admin.pb.h"

namespace tamarack {

// Client side: build the request for a command.
void set_change(const change& requested, admin::SubmitRequest& request);
void set_change(const change_limits& requested, admin::SubmitRequest& request);

admin::ShowHistoryRequest history_request(const show_history& query);
admin::ExplainRequest     explain_request(const explain_flow& query);

// Server side. Limits that a "change service" request does not set keep their value in the current configuration. The
// base revision of such a request is the revision of this configuration unless the request gives another one, so that
// a concurrent change is detected as a conflict.
result<change_request, findings> read_request(const admin::SubmitRequest& request, const configuration& current);

admin::SubmitResponse message_of(const change_result& outcome);

// Answers to the queries. The error is a message for the client.
using unknown_service_message = std::string;

result<admin::ShowServicesResponse, unknown_service_message> answer(const admin::ShowServicesRequest& request,
                                                                    administered_balancer&            balancer);
admin::ShowBalancersResponse answer(const admin::ShowBalancersRequest& request, administered_balancer& balancer);
admin::ShowHistoryResponse   answer(const admin::ShowHistoryRequest& request, administered_balancer& balancer);
admin::ShowCountersResponse  answer(const admin::ShowCountersRequest& request, administered_balancer& balancer);
admin::ShowFlowsResponse     answer(const admin::ShowFlowsRequest& request, administered_balancer& balancer);
result<admin::ExplainResponse, findings> answer(const admin::ExplainRequest& request, administered_balancer& balancer);

} // namespace tamarack
