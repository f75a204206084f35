#include "operators/status_headings.h"

namespace cardamomroute {

const std::array<status_heading, kHeadingCount> kStatusHeadings = {{
    {"version", {"verze", "バージョン", "version"}},
    {"digest", {"otisk", "ダイジェスト", "digest"}},
    {"view_version", {"verze pohledu", "ビューのバージョン", "view version"}},
    {"whole_view", {"celý pohled", "全体ビュー", "whole view"}},
    {"nodes", {"uzly", "ノード数", "nodes"}},
    {"nodes_with_view",
     {"uzly s pohledem", "最新ビューのノード数", "nodes with view"}},
    {"balancers", {"balancery", "バランサー数", "balancers"}},
    {"services", {"služby", "サービス", "services"}},
    {"targets", {"cíle", "ターゲット", "targets"}},
    {"node_list", {"seznam uzlů", "ノード一覧", "node list"}},
    {"name", {"název", "名前", "name"}},
    {"id", {"id", "ID", "id"}},
    {"address", {"adresa", "アドレス", "address"}},
    {"serving", {"obsluhuje", "稼働中", "serving"}},
    {"draining", {"vyprazdňuje se", "ドレイン中", "draining"}},
    {"affects", {"ovlivňuje", "影響先", "affects"}},
    {"service", {"služba", "サービス", "service"}},
    {"zone", {"zóna", "ゾーン", "zone"}},
    {"agent", {"agent", "エージェント", "agent"}},
    {"state", {"stav", "状態", "state"}},
    {"slots", {"sloty", "スロット", "slots"}},
    {"silent_ms", {"bez odezvy (ms)", "無応答 (ms)", "silent ms"}},
    {"leader", {"vedoucí", "リーダー", "leader"}},
    {"term", {"období", "任期", "term"}},
    {"commit_index", {"potvrzený index", "コミット位置", "commit index"}},
    {"members", {"členové", "メンバー", "members"}},
    {"role", {"role", "役割", "role"}},
    {"caught_up", {"dohnáno", "追い付き済み", "caught up"}},
    {"incarnation", {"inkarnace", "インカーネーション", "incarnation"}},
    {"counters", {"čítače", "カウンター", "counters"}},
    {"gauges", {"okamžité hodnoty", "現在値", "gauges"}},
    {"latencies", {"doby trvání", "所要時間", "latencies"}},
    {"value", {"hodnota", "値", "value"}},
    {"count", {"počet", "件数", "count"}},
    {"mean_us", {"průměr (µs)", "平均 (µs)", "mean us"}},
    {"max_us", {"maximum (µs)", "最大 (µs)", "max us"}},
    {"p50_us", {"p50 (µs)", "p50 (µs)", "p50 us"}},
    {"p90_us", {"p90 (µs)", "p90 (µs)", "p90 us"}},
    {"p99_us", {"p99 (µs)", "p99 (µs)", "p99 us"}},
}};

std::string_view HeadingOf(std::string_view key, language wanted) {
  for (const status_heading& row : kStatusHeadings) {
    if (row.key == key) {
      return row.text.at(static_cast<size_t>(wanted));
    }
  }
  return key;
}

}  // namespace cardamomroute
