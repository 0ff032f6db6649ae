// Plain-text views of the administration interface's answers, for terminals and pipes.
#pragma once

#include "admin.pb.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tamarack {

// Width and height of the output; 0: unlimited (not a terminal).
struct view_size {
    std::size_t columns = 0;
    std::size_t rows = 0;
};

// A table of texts. A table that is wider than the output is written as one block per row instead, so that no text is
// cut off.
class text_table {
public:
    enum class align : std::uint8_t { left, right };
    struct column {
        std::string name;
        align       alignment = align::left;
    };

    explicit text_table(std::vector<column> columns) : columns_(std::move(columns)) {}

    void        add(std::vector<std::string> row); // one text for each column
    std::string to_text(std::size_t width) const;

private:
    std::vector<std::size_t> widths() const;
    std::string              to_records() const;

    std::vector<column>                   columns_;
    std::vector<std::vector<std::string>> rows_;
};

std::string services_view(const admin::ShowServicesResponse& answer, const view_size& size);
std::string service_view(const admin::ShowServicesResponse& answer, const view_size& size);
std::string backend_servers_view(const admin::ShowServicesResponse& answer, const view_size& size);
std::string health_view(const admin::ShowServicesResponse& answer, const view_size& size);
std::string balancers_view(const admin::ShowBalancersResponse& answer, const view_size& size);
std::string history_view(const admin::ShowHistoryResponse& answer);
std::string counters_view(const admin::ShowCountersResponse& answer, const view_size& size);
std::string flows_view(const admin::ShowFlowsResponse& answer, const view_size& size);
std::string explanation_view(const admin::ExplainResponse& answer);
std::string outcome_view(const admin::SubmitResponse& answer);

// The data of one frame of the live view.
struct watch_frame {
    std::chrono::steady_clock::time_point taken_at;
    admin::ShowServicesResponse           services;
    admin::ShowBalancersResponse          balancers;
    admin::ShowFlowsResponse              flows;
    admin::ShowCountersResponse           counters;
};

// Lines fit into the width, which is at least 60 columns. Rates are computed from the changes since the previous frame;
// without one, no rates are shown.
std::string watch_view(const watch_frame& frame, const watch_frame* previous, const view_size& size);

} // namespace tamarack
