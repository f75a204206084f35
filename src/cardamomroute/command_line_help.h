#ifndef CARDAMOMROUTE_CARDAMOMROUTE_COMMAND_LINE_HELP_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_COMMAND_LINE_HELP_H_

#include <array>
#include <string_view>

#include "operators/answer_table.h"

namespace cardamomroute {

/// One command or option in the help text.
struct help_row {
  std::string_view usage;
  localized_text meaning;
};

inline constexpr std::array<help_row, 15> kHelpTable = {{
    {"control --settings FILE",
     {"Spustí řídicí proces.", "制御プロセスを実行します。",
      "Runs a control process."}},
    {"balancer --settings FILE",
     {"Spustí proces balanceru.", "バランサーを実行します。",
      "Runs a balancer."}},
    {"agent --settings FILE",
     {"Spustí agenta vedle upstreamu.",
      "アップストリームの隣でエージェントを実行します。",
      "Runs the agent beside an upstream."}},
    {"check FILE",
     {"Zkontroluje text, nic neodešle.",
      "テキストを検査します。送信はしません。",
      "Checks a text; sends nothing."}},
    {"apply FILE --control IP:PORT[,...] [--base VERSION:DIGEST] "
     "[--submission ID] [--no-wait]",
     {"Odešle text a počká, až bude platit všude.",
      "テキストを送信し、全体で有効になるまで待ちます。",
      "Submits a text and waits until it is in force everywhere."}},
    {"show --control IP:PORT[,...]",
     {"Vypíše platný text, jeho verzi a otisk.",
      "有効なテキストとそのバージョン、ダイジェストを表示します。",
      "Prints the text in force, its version and digest."}},
    {"status --control IP:PORT[,...]",
     {"Vypíše služby, cíle, uzly a řídicí VM.",
      "サービス、ターゲット、ノード、制御 VM を表示します。",
      "Prints services, targets, nodes and control VMs."}},
    {"status --node IP:PORT",
     {"Vypíše stav a metriky jednoho balanceru nebo agenta.",
      "バランサーまたはエージェント 1 台の状態とメトリクスを表示します。",
      "Prints state and metrics of one balancer or agent."}},
    {"drain TARGET --control IP:PORT[,...]",
     {"Vyprázdní cíl před plánovaným zastavením.",
      "計画停止の前にターゲットをドレインします。",
      "Drains a target before a planned stop."}},
    {"members --control IP:PORT[,...]",
     {"Vypíše členy řídicí skupiny.", "制御グループのメンバーを表示します。",
      "Prints the members of the control group."}},
    {"recover --settings FILE [--confirm VALUE]",
     {"Založí novou řídicí skupinu z jediné datové složky; bez --confirm jen "
      "vypíše, co by udělal.",
      "一つのデータフォルダから新しい制御グループを作ります。--confirm "
      "がなければ、行う内容の表示だけをします。",
      "Founds a new control group from one data folder; without --confirm only "
      "prints what it would do."}},
    {"--json",
     {"Odpovědi jako JSON, jedna na řádek.",
      "応答を 1 行に 1 つの JSON で出力します。",
      "Answers as JSON, one a line."}},
    {"--language cs|ja|en",
     {"Jazyk odpovědí.", "応答の言語。", "Language of the answers."}},
    {"--help",
     {"Vypíše tuto nápovědu.", "この説明を表示します。", "Prints this text."}},
    {"--version",
     {"Vypíše verzi programu.", "プログラムの版を表示します。",
      "Prints the version of the program."}},
}};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_COMMAND_LINE_HELP_H_
