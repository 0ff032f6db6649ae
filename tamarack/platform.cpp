// Text form of store_status.
#include "tamarack/platform.h"

namespace tamarack {

std::string_view to_string(store_status status) {
    switch (status) {
    case store_status::ok:
        return "ok";
    case store_status::not_found:
        return "not_found";
    case store_status::conflict:
        return "conflict";
    case store_status::unchanged:
        return "unchanged";
    case store_status::rate_limited:
        return "rate_limited";
    case store_status::unavailable:
        return "unavailable";
    case store_status::unknown_outcome:
        return "unknown_outcome";
    }
    return "unknown";
}

} // namespace tamarack
