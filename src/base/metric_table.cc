#include "base/metric_table.h"

namespace cardamomroute {
namespace {

constexpr metric_row Counter(process_role role, std::string_view name) {
  return {name, role, metric_kind::kCounter};
}
constexpr metric_row Gauge(process_role role, std::string_view name) {
  return {name, role, metric_kind::kGauge};
}
constexpr metric_row Latency(process_role role, std::string_view name) {
  return {name, role, metric_kind::kLatency};
}

constexpr process_role kBalancer = process_role::kBalancer;
constexpr process_role kAgent = process_role::kAgent;
constexpr process_role kControl = process_role::kControl;

}  // namespace

const std::array<metric_row, kMetricCount> kMetricTable = {{
    Counter(kBalancer, "packets_in"),
    Counter(kBalancer, "packets_forwarded"),
    Counter(kBalancer, "packets_to_home"),
    Counter(kBalancer, "packets_refused_no_target"),
    Counter(kBalancer, "packets_refused_stale_view"),
    Counter(kBalancer, "packets_dropped"),
    Counter(kBalancer, "headers_malformed"),
    Counter(kBalancer, "answers_delivered"),
    Counter(kBalancer, "answers_dropped"),
    Counter(kBalancer, "batches_to_agents"),
    Counter(kBalancer, "batches_from_agents"),
    Counter(kBalancer, "openings_placed"),
    Counter(kBalancer, "openings_refused_no_route"),
    Counter(kBalancer, "openings_refused_no_upstream"),
    Counter(kBalancer, "packets_returned"),
    Counter(kBalancer, "flows_searched"),
    Counter(kBalancer, "search_bytes"),
    Counter(kBalancer, "search_tries"),
    Counter(kBalancer, "flows_not_found"),
    Counter(kBalancer, "flows_reset"),
    Counter(kBalancer, "packets_held"),
    Gauge(kBalancer, "cached_flows"),
    Gauge(kBalancer, "known_upstreams"),
    Gauge(kBalancer, "routes_version"),
    Gauge(kBalancer, "upstreams_settled"),
    Counter(kBalancer, "control_answers_late"),
    Latency(kBalancer, "flow_search_time"),
    Latency(kBalancer, "control_answer_time"),
    Counter(kAgent, "packets_in"),
    Counter(kAgent, "packets_dropped"),
    Counter(kAgent, "requests_queued"),
    Counter(kAgent, "requests_started"),
    Counter(kAgent, "requests_answered"),
    Counter(kAgent, "requests_not_run"),
    Counter(kAgent, "requests_unknown"),
    Counter(kAgent, "requests_refused"),
    Counter(kAgent, "requests_challenged"),
    Counter(kAgent, "repeats_answered"),
    Counter(kAgent, "repeats_attached"),
    Counter(kAgent, "requests_forwarded"),
    Counter(kAgent, "requests_retried"),
    Counter(kAgent, "observations_started"),
    Counter(kAgent, "observations_ended"),
    Counter(kAgent, "legs_reopened"),
    Counter(kAgent, "flows_placed_here"),
    Counter(kAgent, "flows_placed_elsewhere"),
    Counter(kAgent, "flows_redirected"),
    Counter(kAgent, "flows_refused"),
    Counter(kAgent, "flows_handed_over"),
    Counter(kAgent, "flows_taken_over"),
    Counter(kAgent, "flows_superseded"),
    Counter(kAgent, "flows_closed"),
    Counter(kAgent, "openings_delivered"),
    Counter(kAgent, "openings_handed_back"),
    Counter(kAgent, "openings_queued"),
    Counter(kAgent, "upstream_packets"),
    Counter(kAgent, "upstream_handed_back"),
    Counter(kAgent, "flows_reset"),
    Gauge(kAgent, "open_flows"),
    Gauge(kAgent, "busy_flows"),
    Gauge(kAgent, "upstream_serves"),
    Gauge(kAgent, "slots_in_use"),
    Gauge(kAgent, "slots"),
    Gauge(kAgent, "requests_waiting"),
    Gauge(kAgent, "flows_held"),
    Gauge(kAgent, "redirects_held"),
    Latency(kAgent, "time_in_queue"),
    Latency(kAgent, "time_at_upstream"),
    Latency(kAgent, "flow_opening_time"),
    Latency(kAgent, "opening_wait_time"),
    Latency(kAgent, "flow_answer_time"),
    Counter(kControl, "entries_committed"),
    Counter(kControl, "texts_accepted"),
    Counter(kControl, "texts_refused"),
    Counter(kControl, "pulls"),
    Counter(kControl, "pulls_not_leading"),
    Counter(kControl, "deltas_sent"),
    Counter(kControl, "full_views_sent"),
    Counter(kControl, "leaderships"),
    Counter(kControl, "repairs"),
    Gauge(kControl, "spare_voters"),
    Latency(kControl, "commit_time"),
    Counter(kControl, "configuration_calls"),
    Counter(kControl, "configurations_refused"),
    Counter(kControl, "configuration_calls_unavailable"),
    Gauge(kControl, "configuration_version"),
    Gauge(kControl, "members"),
    Counter(kControl, "announcements"),
    Counter(kControl, "polls"),
}};

}  // namespace cardamomroute
