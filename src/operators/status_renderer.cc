#include "operators/status_renderer.h"

#include <unicode/uchar.h>
#include <unicode/utf8.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "base/concat.h"
#include "operators/status_headings.h"

namespace cardamomroute {
namespace {

using json = nlohmann::ordered_json;
using table_row = std::vector<std::string>;

constexpr size_t kGap = 2;
constexpr char kMetrics[] = "metrics";

bool IsTable(const json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const json& item) { return item.is_object(); });
}

/// A cell on one line: texts without quotes, lists with commas.
std::string Cell(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (!value.is_array()) {
    return value.dump();
  }
  std::string joined;
  for (const json& item : value) {
    joined += Concat(joined.empty() ? "" : ", ", Cell(item));
  }
  return joined.empty() ? "-" : joined;
}

bool IsWide(UChar32 letter) {
  const int32_t width = u_getIntPropertyValue(letter, UCHAR_EAST_ASIAN_WIDTH);
  return width == U_EA_WIDE || width == U_EA_FULLWIDTH;
}

/// Columns of a terminal that the text takes.
size_t WidthOf(std::string_view text) {
  size_t width = 0;
  const auto length = static_cast<int32_t>(text.size());
  for (int32_t at = 0; at < length;) {
    UChar32 letter = 0;
    U8_NEXT(text.data(), at, length, letter);
    width += IsWide(letter) ? 2 : 1;
  }
  return width;
}

std::vector<table_row> ToRows(const json& objects, language wanted) {
  json columns = json::object();
  for (const json& object : objects) {
    for (const auto& member : object.items()) {
      columns[member.key()] = nullptr;
    }
  }
  std::vector<table_row> rows(1);
  for (const auto& column : columns.items()) {
    rows[0].push_back(column.key());
  }
  for (const json& object : objects) {
    table_row row;
    for (const std::string& key : rows[0]) {
      row.push_back(object.contains(key) ? Cell(object[key]) : "-");
    }
    rows.push_back(std::move(row));
  }
  for (std::string& heading : rows[0]) {
    heading = HeadingOf(heading, wanted);
  }
  return rows;
}

std::string Aligned(const std::vector<table_row>& rows) {
  std::vector<size_t> widths(rows[0].size());
  for (const table_row& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], WidthOf(row[i]));
    }
  }
  std::string text;
  for (const table_row& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      const size_t padding = last ? 0 : widths[i] - WidthOf(row[i]) + kGap;
      text += row[i] + std::string(padding, ' ');
    }
    text += "\n";
  }
  return text;
}

std::string Table(std::string_view key, const json& objects, language wanted) {
  return Concat("\n", HeadingOf(key, wanted), "\n",
                Aligned(ToRows(objects, wanted)));
}

/// One row a metric: a number has a column "value", an object its own ones.
json MetricRows(const json& metrics) {
  json rows = json::array();
  for (const auto& item : metrics.items()) {
    json row = {{"name", item.key()}};
    if (item.value().is_object()) {
      row.update(item.value());
    } else {
      row["value"] = item.value();
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string MetricTables(const json& kinds, language wanted) {
  std::string tables;
  for (const auto& kind : kinds.items()) {
    const json rows = MetricRows(kind.value());
    tables += rows.empty() ? std::string() : Table(kind.key(), rows, wanted);
  }
  return tables;
}

}  // namespace

std::string RenderTables(const json& status, language wanted) {
  std::string plain;
  std::string tables;
  for (const auto& member : status.items()) {
    if (IsTable(member.value())) {
      tables += Table(member.key(), member.value(), wanted);
    } else if (member.key() == kMetrics && member.value().is_object()) {
      tables += MetricTables(member.value(), wanted);
    } else {
      plain += Concat(HeadingOf(member.key(), wanted), ": ",
                      Cell(member.value()), "\n");
    }
  }
  return plain + tables;
}

}  // namespace cardamomroute
