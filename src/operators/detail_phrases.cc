#include "operators/detail_phrases.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "base/concat.h"

namespace cardamomroute {
namespace {

/// Between two details that make one.
constexpr std::string_view kJoint = "; ";

using arguments = std::vector<std::string>;

/// What stands in `text` for "{0}", "{1}" and so on of `pattern`, or nothing
/// where the two do not match. The last literal part is matched at the end.
std::optional<arguments> Match(std::string_view pattern,
                               std::string_view text) {
  arguments found;
  size_t open = pattern.find('{');
  while (open != std::string_view::npos) {
    if (text.substr(0, open) != pattern.substr(0, open)) {
      return std::nullopt;
    }
    text.remove_prefix(open);
    pattern.remove_prefix(pattern.find('}') + 1);
    open = pattern.find('{');
    const bool last = open == std::string_view::npos;
    const std::string_view literal = pattern.substr(0, open);
    const size_t end = last ? text.rfind(literal) : text.find(literal);
    if (end == std::string_view::npos || end == 0) {
      return std::nullopt;
    }
    found.emplace_back(text.substr(0, end));
    text.remove_prefix(end);
  }
  return text == pattern ? std::optional(found) : std::nullopt;
}

std::string Fill(std::string_view pattern, const arguments& values) {
  std::string filled(pattern);
  // From the last one, so that no value is taken for a placeholder.
  for (size_t i = values.size(); i > 0; --i) {
    const std::string name = "{" + std::to_string(i - 1) + "}";
    const size_t at = filled.find(name);
    if (at != std::string::npos) {
      filled.replace(at, name.size(), values[i - 1]);
    }
  }
  return filled;
}

}  // namespace

const std::array<localized_text, kPhraseCount> kPhrases = {
    {{{"záznam je poškozený", "レコードが壊れています", "a record is damaged"}},
     {{"chybí první záznam", "最初のレコードがありません",
       "the first record is missing"}},
     {{"záznamy nejdou po sobě", "レコードの順序が正しくありません",
       "records are out of order"}},
     {{"chybí soubor identity", "identity ファイルがありません",
       "the identity file is missing"}},
     {{"soubor identity je poškozený", "identity ファイルが壊れています",
       "the identity file is damaged"}},
     {{"snímek je poškozený", "スナップショットが壊れています",
       "the snapshot is damaged"}},
     {{"chybí protokol změn", "ログがありません", "the log is missing"}},
     {{"chybí snímek, který předchází tomuto protokolu změn",
       "このログより前のスナップショットがありません",
       "the snapshot before this log is missing"}},
     {{"kopii složky uschovejte k prozkoumání, složku pak vyprázdněte a "
       "spusťte znovu: proces se připojí jako záložní s novou identitou a stav "
       "převezme od ostatních řídicích VM",
       "調査用にフォルダの写しを残し、フォルダを空にして再度起動してください。"
       "プロセスは新しい ID のスタンバイとして加わり、ほかの制御 VM "
       "から状態を受け取ります",
       "keep a copy of the folder for inspection, then empty it and start "
       "again: the process joins as a standby with a new identity and takes "
       "the state from the other control VMs"}},
     {{"co je na disku, není známo, proto tento proces musí skončit a složku "
       "načíst znovu",
       "ディスクの内容が不明なため、このプロセスは終了してフォルダを読み直す必"
       "要があります",
       "what is on the disk is unknown, so this process must end and read its "
       "folder anew"}},
     {{"složka je vyřazena", "フォルダは破棄されました",
       "the folder is given up"}},
     {{"složka je stará kopie; byla vyřazena",
       "フォルダは古い写しのため、破棄されました",
       "the folder is an old copy; it was given up"}},
     {{"„{0}“ není IP:PORT", "「{0}」は IP:PORT ではありません",
       "\"{0}\" is not IP:PORT"}},
     {{"volání „{0}“ je uvedeno dvakrát", "呼び出し「{0}」が二度あります",
       "call \"{0}\" stands twice"}},
     {{"služba „{0}“ je uvedena dvakrát", "サービス「{0}」が二度あります",
       "service \"{0}\" stands twice"}},
     {{"závislost „{0}“ je uvedena dvakrát", "依存「{0}」が二度あります",
       "dependency \"{0}\" stands twice"}},
     {{"klíč „{0}“ je uveden dvakrát", "キー「{0}」が二度あります",
       "key \"{0}\" stands twice"}},
     {{"„{0}“ je uvedeno dvakrát", "「{0}」が二度あります",
       "\"{0}\" stands twice"}},
     {{"„{0}“ není záložní a není mezi peers",
       "「{0}」はスタンバイではなく、peers にもありません",
       "\"{0}\" is no standby and not among the peers"}},
     {{"„{0}“ je záložní a nesmí být mezi peers",
       "「{0}」はスタンバイなので peers に含められません",
       "\"{0}\" is a standby and must not be among the peers"}},
     {{"Chybí povinné pole „{0}“ (edge „proxied“).",
       "必須の項目「{0}」がありません(edge「proxied」)。",
       "Missing required property '{0}' (edge \"proxied\")."}},
     {{"Chybí povinné pole „{0}“.", "必須の項目「{0}」がありません。",
       "Missing required property '{0}'."}},
     {{"Adresa upstreamu je adresou samotného agenta.",
       "アップストリームのアドレスがエージェント自身のものです。",
       "The upstream's address is the agent's own."}},
     {{"Taková role neexistuje.", "そのような役割はありません。",
       "There is no such role."}},
     {{"Takové pole neexistuje.", "そのような項目はありません。",
       "There is no such field."}},
     {{"Není žádnou z hodnot {0}.", "{0} のどれでもありません。",
       "Not one of {0}."}},
     {{"Není typu {0}.", "型が {0} ではありません。", "Not of type {0}."}},
     {{"Číslo má být nejméně {0}", "数値は {0} 以上でなければなりません",
       "Expected number greater than or equal to {0}"}},
     {{"Číslo má být nejvýše {0}", "数値は {0} 以下でなければなりません",
       "Expected number less than or equal to {0}"}},
     {{"Text má mít nejvýše {0} znaků.",
       "文字列は {0} 文字以下でなければなりません。",
       "String should be no more than {0} characters in length."}},
     {{"Text má mít nejméně {0} znaků.",
       "文字列は {0} 文字以上でなければなりません。",
       "String should be no fewer than {0} characters in length."}},
     {{"Pole má mít nejvýše {0} prvků.",
       "配列の要素は {0} 個以下でなければなりません。",
       "Array should contain no more than {0} elements."}},
     {{"Pole má mít nejméně {0} prvků.",
       "配列の要素は {0} 個以上でなければなりません。",
       "Array should contain no fewer than {0} elements."}},
     {{"více než {0} polí a objektů v sobě",
       "配列とオブジェクトの入れ子が {0} を超えています",
       "more than {0} arrays and objects inside one another"}},
     {{"bajt {0} nepatří do textu v UTF-8",
       "{0} バイト目が UTF-8 ではありません",
       "byte {0} is not part of UTF-8 text"}},
     {{"kanonický tvar má více než {0} bajtů",
       "正規形が {0} バイトを超えています",
       "the canonical form has more than {0} bytes"}},
     {{"cesta má více než {0} bajtů", "パスが {0} バイトを超えています",
       "a path has more than {0} bytes"}},
     {{"část cesty má více než {0} bajtů",
       "パスの区切りの一つが {0} バイトを超えています",
       "a segment has more than {0} bytes"}},
     {{"více než {0} bajtů", "{0} バイトを超えています",
       "more than {0} bytes"}},
     {{"číslo je mimo rozsah", "数値が範囲外です", "a number is out of range"}},
     {{"nelze otevřít", "開けません", "cannot be opened"}},
     {{"nelze číst", "読み取れません", "cannot be read"}},
     {{"nelze zapisovat", "書き込めません", "cannot be written"}},
     {{"není úroveň protokolování", "ログのレベルではありません",
       "is not a level of logging"}},
     {{"název má 1 až {0} znaků, ne {1}",
       "名前は 1 文字から {0} 文字までです({1} 文字あります)",
       "a name has 1 to {0} characters, not {1}"}},
     {{"znak {0} zde není povolen", "文字 {0} はここでは使えません",
       "character {0} is not allowed here"}},
     {{"cesta začíná znakem „/“", "パスは「/」で始まります",
       "a path begins with \"/\""}},
     {{"cesta nemá prázdné části ani „.“ nebo „..“",
       "パスには空の区切りや「.」「..」を含められません",
       "a path has no empty segments and no \".\" or \"..\""}},
     {{"služba s protokolem „coap“ potřebuje volání",
       "プロトコル「coap」のサービスには呼び出しが必要です",
       "a service with protocol \"coap\" needs calls"}},
     {{"služba s protokolem „datagram“ nemá volání",
       "プロトコル「datagram」のサービスに呼び出しは書けません",
       "a service with protocol \"datagram\" has no calls"}},
     {{"„{0}“ není adresa jednoho počítače",
       "「{0}」は単一ホストのアドレスではありません",
       "\"{0}\" is no address of a single host"}},
     {{"{0} je také adresou {1}. služby textu",
       "{0} はテキストの {1} 番目のサービスのアドレスでもあります",
       "{0} is the address of service {1} of the text too"}},
     {{"žádná služba se nejmenuje „{0}“",
       "「{0}」という名前のサービスはありません",
       "no service is named \"{0}\""}},
     {{"taková volba neexistuje", "そのようなオプションはありません",
       "there is no such option"}},
     {{"volba potřebuje hodnotu", "オプションに値が必要です",
       "the option needs a value"}},
     {{"volbu nelze přečíst", "オプションを解釈できません",
       "the option cannot be read"}},
     {{"volba je uvedena dvakrát", "オプションが二度あります",
       "the option stands twice"}},
     {{"nepatří k {0}", "{0} には使えません", "does not belong to {0}"}},
     {{"je uvedeno vedle {0}", "{0} と同時に指定されています",
       "stands beside {0}"}},
     {{"chybí příkaz", "コマンドがありません", "a command is missing"}},
     {{"takový příkaz neexistuje", "そのようなコマンドはありません",
       "there is no such command"}},
     {{"takový příkaz zde není", "ここにそのようなコマンドはありません",
       "no such command"}},
     {{"je přebytečný argument", "余分な引数です", "is one argument too many"}},
     {{"název souboru je prázdný", "ファイル名が空です",
       "the name of the file is empty"}},
     {{"„{0}“ není VERSION:DIGEST", "「{0}」は VERSION:DIGEST ではありません",
       "\"{0}\" is not VERSION:DIGEST"}},
     {{"identifikátor má 1 až {0} písmen, číslic a znaků . _ -",
       "ID は英数字と . _ - で 1 文字から {0} 文字までです",
       "an id has 1 to {0} letters, digits and . _ -"}},
     {{"„{0}“ není cs, ja ani en", "「{0}」は cs、ja、en のどれでもありません",
       "\"{0}\" is not cs, ja or en"}},
     {{"chybí {0}", "{0} がありません", "{0} is missing"}},
     {{"{0} je prázdné", "{0} が空です", "{0} is empty"}},
     {{"bez spojení", "接続できません", "no connection"}},
     {{"včas nepřišla odpověď", "時間内に応答がありませんでした",
       "no answer in time"}},
     {{"odpověď nelze přečíst", "応答を読み取れません", "unreadable answer"}},
     {{"patřila službě {0}; uvolní se za {1} ms",
       "サービス {0} が使用していました。{1} ミリ秒後に解放されます",
       "was in use by service {0}; free in {1} ms"}},
     {{"dosud patří službě {0}; odeberte ji tam jedním textem a službě {1} ji "
       "dejte až pozdějším",
       "まだサービス {0} が使用しています。一つのテキストでそこから外し、{1} "
       "には後のテキストで割り当ててください",
       "still in use by service {0}; take it from there in one text, and give "
       "it to {1} in a later one"}},
     {{"vedení bylo ztraceno dříve, než to měla většina",
       "過半数に届く前にリーダーが交代しました",
       "leadership was lost before a majority had it"}},
     {{"nic takového proces neodpovídá",
       "このプロセスはそのような要求に応答しません",
       "this process answers no such request"}},
     {{"požadavek nelze přečíst", "リクエストを読み取れません",
       "unreadable request"}},
     {{"chybí", "ありません", "is missing"}},
     {{"většina to včas nepotvrdila; zeptejte se znovu se stejným "
       "identifikátorem podání",
       "過半数が時間内に確認しませんでした。同じ送信 ID で再度実行してください",
       "not confirmed by a majority in time; ask again with the same "
       "submission id"}},
     {{"není vedoucí", "リーダーではありません", "not the leader"}},
     {{"vedení se právě předává", "リーダーを交代中です",
       "leadership is being handed over"}},
     {{"příliš mnoho nepotvrzených změn", "未確定の変更が多すぎます",
       "too much is uncommitted"}},
     {{"kontrolují se dřívější texty; zkuste to znovu za {0} ms",
       "先に届いたテキストを検査中です。{0} ミリ秒後に再度実行してください",
       "earlier texts are being checked; ask again in {0} ms"}},
     {{"na disku není místo", "ディスクに空きがありません", "no space"}},
     {{"není zdroj náhodných čísel", "乱数源がありません",
       "no source of random numbers"}},
     {{"nezapsal tento program", "このプログラムが書いたものではありません",
       "not written by this program"}},
     {{"fsync selhal", "fsync に失敗しました", "fsync failed"}},
     {{"tuto složku dat používá jiný proces",
       "別のプロセスがこのデータフォルダーを使用しています",
       "another process uses this data folder"}},
     {{"formát {0} zapsalo jiné vydání; toto čte formát {1}",
       "形式 {0} は別のリリースが書いたものです。このリリースが読める形式は "
       "{1} です",
       "format {0} was written by another release; this one reads format {1}"}},
     {{"tento identifikátor podání už přišel s jiným textem nebo základem",
       "この送信 ID は以前、別のテキストまたはベースで使われました",
       "this submission id came with another text or base before"}},
     {{"platí verze {0} s otiskem {1}",
       "有効なのはバージョン {0}、ダイジェスト {1} です",
       "in force is version {0} with digest {1}"}},
     {{"skupina {0}; člen {1}; poslední záznam {2} v období {3}; zůstanou "
       "pozadu: {4}",
       "グループ {0}、メンバー {1}、最後のエントリー {2}(任期 "
       "{3})、取り残されるメンバー: {4}",
       "group {0}; member {1}; last entry {2} of term {3}; left behind: {4}"}},
     {{"není hodnota, kterou recover pro tuto složku vypisuje",
       "recover がこのフォルダについて表示する値ではありません",
       "is not the value that recover prints for this folder"}},
     {{"skupina už tohoto člena neuvádí",
       "グループにこのメンバーはもう含まれていません",
       "the group no longer names this member"}},
     {{"tato skupina byla obnovena příliš mnohokrát",
       "このグループは復旧の回数が上限に達しています",
       "this group was recovered too often"}},
     {{"vyprázdněte složku, abyste se připojili ke skupině, která ji nahradila",
       "フォルダを空にすると、置き換えたグループに参加できます",
       "empty the folder to join the group that replaced it"}},
     {{"{0} {1} je uvedeno dvakrát", "{0} {1} が二度あります",
       "{0} {1} stands twice"}}}};

namespace {

/// `text` in the wanted language, or nothing where it is not among the phrases.
std::optional<std::string> FindPhrase(std::string_view text, language wanted) {
  for (const localized_text& phrase : kPhrases) {
    if (const auto values = Match(phrase.back(), text)) {
      return Fill(phrase.at(static_cast<size_t>(wanted)), *values);
    }
  }
  return std::nullopt;
}

}  // namespace

std::string LocalizeDetail(std::string_view detail, language wanted) {
  // The pointer into a document comes first and is the same everywhere.
  const size_t colon = detail.find(": ");
  const bool has_pointer =
      !detail.empty() && detail.front() == '/' && colon != detail.npos;
  const size_t begin = has_pointer ? colon + 2 : 0;
  const std::string_view pointer = detail.substr(0, begin);
  const std::string_view text = detail.substr(begin);
  if (const auto whole = FindPhrase(text, wanted)) {
    return Concat(pointer, *whole);
  }
  const size_t joint = text.rfind(kJoint);
  if (joint == text.npos) {
    return std::string(detail);
  }
  const std::string_view first = text.substr(0, joint);
  const std::string_view second = text.substr(joint + kJoint.size());
  return Concat(pointer, FindPhrase(first, wanted).value_or(std::string(first)),
                kJoint,
                FindPhrase(second, wanted).value_or(std::string(second)));
}

}  // namespace cardamomroute
