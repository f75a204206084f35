#include "operators/answer_table.h"

#include <algorithm>

namespace cardamomroute {

const std::array<answer_row, 42 + kSuccessCount> kAnswerTable = {{
    {"file-unreadable",
     {{"Soubor nelze přečíst.", "ファイルを読み取れません。",
       "The file cannot be read."}},
     {{"Zkontrolujte cestu a oprávnění souboru.",
       "ファイルのパスと権限を確認してください。",
       "Check the path and the permissions of the file."}}},
    {"not-utf8",
     {{"Text není v kódování UTF-8.", "テキストが UTF-8 ではありません。",
       "The text is not UTF-8."}},
     {{"Uložte soubor v kódování UTF-8 a odešlete ho znovu.",
       "ファイルを UTF-8 で保存し、もう一度送信してください。",
       "Save the file as UTF-8 and submit it again."}}},
    {"not-json",
     {{"Text není platný JSON.", "テキストが JSON ではありません。",
       "The text is not JSON."}},
     {{"Opravte text na uvedeném místě; často těsně před ním chybí nebo "
       "přebývá čárka či uvozovka.",
       "示された位置を修正してください。直前のコンマや引用符の過不足がよくある"
       "原因です。",
       "Correct the text at the place shown; often a comma or a quote is "
       "missing or left over just before it."}}},
    {"duplicate-key",
     {{"Klíč je v témže objektu dvakrát.",
       "同じオブジェクトに同じキーが二度あります。",
       "A key stands twice in the same object."}},
     {{"Odstraňte jeden z nich.", "どちらか一方を削除してください。",
       "Remove one of the two."}}},
    {"too-deep",
     {{"Pole a objekty jsou zanořeny příliš hluboko.",
       "配列とオブジェクトの入れ子が深すぎます。",
       "Arrays and objects are nested too deeply."}},
     {{"Porovnejte text s příklady; některá závorka je nejspíš na nesprávném "
       "místě.",
       "例と比べてください。括弧の位置が誤っている可能性があります。",
       "Compare the text with the examples; a bracket is probably in the wrong "
       "place."}}},
    {"too-large",
     {{"Text je příliš velký.", "テキストが大きすぎます。",
       "The text is too large."}},
     {{"Ověřte, že jde o správný soubor; mez je uvedena v podrobnostech.",
       "正しいファイルかどうか確認してください。上限は詳細に示されています。",
       "Check that it is the right file; the limit is in the detail."}}},
    {"schema-violation",
     {{"Pole chybí, není známé nebo má nesprávný typ.",
       "項目が不足しているか、未知であるか、型が誤っています。",
       "A field is missing, unknown or of the wrong type."}},
     {{"Porovnejte uvedené místo s přehledem polí v OPERATING.md.",
       "示された位置を OPERATING.md の項目一覧と比べてください。",
       "Compare the place shown with the reference of fields in "
       "OPERATING.md."}}},
    {"value-out-of-range",
     {{"Hodnota zde není povolena.", "この値はここでは使えません。",
       "A value is not allowed here."}},
     {{"Opravte hodnotu; podrobnosti uvádějí, co je povoleno.",
       "値を修正してください。使える値は詳細に示されています。",
       "Correct the value; the detail says what is allowed."}}},
    {"unknown-dependency",
     {{"Služba závisí na názvu, který žádná služba nemá.",
       "存在しない名前のサービスに依存しています。",
       "A service depends on a name that no service has."}},
     {{"Opravte název v depends_on, nebo doplňte chybějící službu.",
       "depends_on の名前を修正するか、足りないサービスを追加してください。",
       "Correct the name in depends_on, or add the missing service."}}},
    {"dependency-cycle",
     {{"Služby na sobě závisejí v kruhu.",
       "サービスの依存関係が循環しています。",
       "Services depend on one another in a cycle."}},
     {{"Odstraňte jednu závislost z kruhu uvedeného v podrobnostech.",
       "詳細に示された循環から依存を一つ取り除いてください。",
       "Remove one dependency of the cycle that the detail names."}}},
    {"duplicate-name",
     {{"Název se vyskytuje dvakrát.", "同じ名前が二度あります。",
       "A name stands twice."}},
     {{"Jeden z nich přejmenujte nebo odstraňte.",
       "どちらか一方の名前を変えるか、削除してください。",
       "Rename or remove one of the two."}}},
    {"duplicate-address",
     {{"Adresa se vyskytuje dvakrát.", "同じアドレスが二度あります。",
       "An address stands twice."}},
     {{"Každé položce dejte vlastní adresu a port.",
       "それぞれに別のアドレスとポートを割り当ててください。",
       "Give each its own address and port."}}},
    {"version-conflict",
     {{"Nepřijato: nyní platí jiný text, verze {version}, otisk {digest}.",
       "受理されませんでした。現在は別のテキスト(バージョン "
       "{version}、ダイジェスト {digest})が有効です。",
       "Not accepted: another text is in force now, version {version}, digest "
       "{digest}."}},
     {{"Načtěte ho příkazem show, zapracujte do něj svou změnu a odešlete "
       "znovu.",
       "show "
       "で現在のテキストを読み、変更を反映してからもう一度送信してください。",
       "Read it with show, put your change into it and submit again."}}},
    {"submission-reused",
     {{"Nepřijato: identifikátor odeslání {submission} byl už použit pro jiný "
       "text.",
       "受理されませんでした。送信 ID {submission} "
       "は別のテキストで使用済みです。",
       "Not accepted: submission id {submission} was used before for another "
       "text."}},
     {{"Odešlete bez --submission nebo s novým identifikátorem.",
       "--submission を付けずに、または新しい ID で送信してください。",
       "Submit without --submission, or with a new id."}}},
    {"outcome-unknown",
     {{"Neznámo: na odeslání {submission} nepřišla odpověď. Text mohl, ale "
       "nemusel být přijat.",
       "不明です。送信 {submission} "
       "への応答がありません。テキストは受理された可能性も、されていない可能性"
       "もあります。",
       "Unknown: no answer came for submission {submission}. The text may or "
       "may not have been accepted."}},
     {{"Zopakujte apply s --submission {submission}, stejným souborem a "
       "stejným základem; totéž odeslání se nikdy nepřijme dvakrát.",
       "同じファイルと同じ基準で --submission {submission} を付けて apply "
       "を繰り返してください。同じ送信が二度受理されることはありません。",
       "Repeat apply with --submission {submission} and the same file and "
       "base; the same submission is never accepted twice."}}},
    {"outcome-lost",
     {{"Neznámo: řídicí skupina byla obnovena z jedné VM. Co bylo odesláno "
       "předtím, mohlo být přijato a ztratit se.",
       "不明です。制御グループは一つの VM "
       "から復旧されました。それ以前の送信は、受理されたあと失われた可能性があ"
       "ります。",
       "Unknown: the control group was recovered from one VM. What was "
       "submitted before may have been accepted and lost."}},
     {{"Načtěte text příkazem show. Pokud v něm vaše změna chybí, zapracujte "
       "ji a odešlete s novým identifikátorem.",
       "show でテキストを読み、変更が含まれていなければ、反映して新しい ID "
       "で送信してください。",
       "Read the text with show. If your change is not in it, put it in and "
       "submit with a new id."}}},
    {"no-quorum",
     {{"Neprovedeno: řídicí VM nedosáhne na většinu své skupiny.",
       "実行されませんでした。制御 VM がグループの過半数と通信できません。",
       "Not done: the control VM cannot reach a majority of its group."}},
     {{"Zkuste to znovu s ostatními řídicími adresami; zkontrolujte síť a "
       "members.",
       "ほかの制御アドレスで再試行し、ネットワークと members "
       "を確認してください。",
       "Try again with the other control addresses; check the network and "
       "members."}}},
    {"not-leader",
     {{"Neprovedeno: tato řídicí VM není vedoucí.",
       "実行されませんでした。この制御 VM はリーダーではありません。",
       "Not done: this control VM is not the leader."}},
     {{"Uveďte v --control všechny řídicí adresy, nebo pár sekund počkejte na "
       "volbu.",
       "--control "
       "にすべての制御アドレスを指定するか、選出が終わるまで数秒待ってください"
       "。",
       "Give all control addresses with --control, or wait a few seconds for "
       "an election."}}},
    {"address-quarantined",
     {{"Nepřijato: adresa patří jiné službě, nebo jí ještě nedávno patřila.",
       "受理されませんでした。アドレスは別のサービスのものか、直前までそうでし"
       "た。",
       "Not accepted: an address is another service's, or was until a short "
       "time ago."}},
     {{"Nejprve adresu odeberte druhé službě, vyčkejte dobu uvedenou v "
       "podrobnostech a odešlete znovu; nebo použijte jinou adresu.",
       "先に他方のサービスからアドレスを外し、詳細に示された時間だけ待ってから"
       "もう一度送信するか、別のアドレスを使ってください。",
       "Take the address from the other service first, wait for the time that "
       "the detail gives, then submit again; or use another address."}}},
    {"not-in-force",
     {{"Přijato jako verze {version}, ale ještě neplatí všude: po {seconds} s "
       "ji má {nodes_in_force} z {nodes} uzlů.",
       "バージョン {version} "
       "として受理されましたが、まだ全体では有効ではありません。{seconds} "
       "秒後の時点で {nodes} ノード中 {nodes_in_force} "
       "ノードが保持しています。",
       "Accepted as version {version}, but not yet in force everywhere: "
       "{nodes_in_force} of {nodes} nodes have it after {seconds} s."}},
     {{"Neodesílejte znovu. Podívejte se do status, které uzly se opožďují; "
       "odříznutý uzel nepřijímá nové toky, dokud verzi nezíská.",
       "再送信しないでください。遅れているノードを status "
       "で確認してください。切り離されたノードは、このバージョンを得るまで新し"
       "いフローを受け付けません。",
       "Do not submit again. Look at status for the nodes that lag; a node "
       "that is cut off takes no new flows until it has the version."}}},
    {"unknown-target",
     {{"Takový cíl neexistuje.", "そのターゲットは存在しません。",
       "There is no such target."}},
     {{"Zjistěte identifikátor nebo název cíle příkazem status.",
       "status でターゲットの ID または名前を確認してください。",
       "Take the id or name of the target from status."}}},
    {"unknown-member",
     {{"Taková řídicí VM ve skupině není.",
       "その制御 VM はグループにありません。",
       "There is no such control VM in the group."}},
     {{"Zjistěte název příkazem members.", "members で名前を確認してください。",
       "Take the name from members."}}},
    {"data-corrupt",
     {{"Datová složka je poškozená.", "データフォルダが壊れています。",
       "The data folder is damaged."}},
     {{"Složku přesuňte jinam a spusťte VM s nastavením standby na true; stav "
       "si načte od ostatních. Nikdy nekopírujte složku jiné VM.",
       "フォルダを別の場所に移し、standby を true にして VM "
       "を起動してください。状態はほかの VM から取得されます。別の VM "
       "のフォルダは決してコピーしないでください。",
       "Move the folder away and start the VM with standby set to true; it "
       "fetches the state from the others. Never copy another VM's folder."}}},
    {"data-format",
     {{"Datovou složku zapsala verze, kterou tento program nezná.",
       "データフォルダの形式が、このプログラムの対応していないバージョンです。",
       "The data folder was written by a version that this program does not "
       "know."}},
     {{"Spusťte verzi, která ji zapsala, nebo novější.",
       "書き込んだバージョン、またはそれより新しいバージョンを実行してください"
       "。",
       "Run the version that wrote it, or a newer one."}}},
    {"disk-full",
     {{"Disk je plný; nic nebylo přislíbeno.",
       "ディスクがいっぱいです。何も確約されていません。",
       "The disk is full; nothing was promised."}},
     {{"Uvolněte místo na disku s datovou složkou a spusťte znovu.",
       "データフォルダのあるディスクの空き容量を増やし、もう一度起動してくださ"
       "い。",
       "Free space on the disk of the data folder and start again."}}},
    {"folder-locked",
     {{"Datovou složku používá jiný proces.",
       "データフォルダは別のプロセスが使用中です。",
       "Another process is using the data folder."}},
     {{"Zastavte druhý proces, nebo dejte každému vlastní složku.",
       "もう一方のプロセスを停止するか、それぞれに別のフォルダを割り当ててくだ"
       "さい。",
       "Stop the other process, or give each its own folder."}}},
    {"io-failed",
     {{"Čtení nebo zápis selhal; poslední zápis se mohl, ale nemusel projevit.",
       "読み書きに失敗しました。最後の書き込みは反映された可能性も、されていな"
       "い可能性もあります。",
       "Reading or writing failed; the last write may or may not have taken "
       "effect."}},
     {{"Zkontrolujte disk a systémový protokol. Je-li vadný disk, vyměňte ho a "
       "spusťte VM jako záložní.",
       "ディスクとシステムログを確認してください。ディスクの故障なら交換し、VM "
       "をスタンバイとして起動してください。",
       "Check the disk and the system log. If the disk is at fault, replace it "
       "and start the VM as a standby."}}},
    {"disk-identity",
     {{"Datová složka patří jiné řídicí VM nebo dřívějšímu stavu této VM.",
       "データフォルダが別の制御 VM のもの、またはこの VM の以前の状態です。",
       "The data folder belongs to another control VM or to an earlier state "
       "of this one."}},
     {{"Složku přesuňte jinam a spusťte VM s nastavením standby na true.",
       "フォルダを別の場所に移し、standby を true にして VM "
       "を起動してください。",
       "Move the folder away and start the VM with standby set to true."}}},
    {"no-group",
     {{"Datová složka neobsahuje žádnou řídicí skupinu.",
       "データフォルダに制御グループがありません。",
       "The data folder holds no control group."}},
     {{"Zkontrolujte data_folder v nastavení; příkaz recover potřebuje složku "
       "řídicí VM, která zbyla.",
       "設定の data_folder を確認してください。recover には残った制御 VM "
       "のフォルダが必要です。",
       "Check data_folder in the settings; recover needs the folder of a "
       "control VM that is left."}}},
    {"former-group",
     {{"Tato řídicí VM patří ke skupině, kterou nahradila obnovená skupina.",
       "この制御 VM は、復旧されたグループに置き換えられた古いグループのもので"
       "す。",
       "This control VM belongs to a group that a recovered group has "
       "replaced."}},
     {{"Složku přesuňte jinam a spusťte VM s prázdnou složkou; připojí se jako "
       "záložní.",
       "フォルダを別の場所に移し、空のフォルダで VM "
       "を起動してください。スタンバイとして加わります。",
       "Move the folder away and start the VM with an empty one; it joins as a "
       "standby."}}},
    {"usage",
     {{"Příkazovému řádku nelze porozumět.", "コマンドラインを解釈できません。",
       "The command line is not understood."}},
     {{"Viz cardamomroute --help.", "cardamomroute --help を参照してください。",
       "See cardamomroute --help."}}},
    {"malformed-message",
     {{"Zprávu nelze přečíst.", "メッセージを読み取れません。",
       "A message could not be read."}},
     {{"Ověřte, že adresa a port patří cardamomroute a že k sobě verze pasují.",
       "アドレスとポートが cardamomroute "
       "のものか、またバージョンが合っているか確認してください。",
       "Check that address and port belong to cardamomroute and that the "
       "versions fit together."}}},
    {"wrong-service",
     {{"Paket byl určen jiné službě a byl zahozen.",
       "パケットは別のサービス宛てだったため破棄されました。",
       "A packet was meant for another service and was dropped."}},
     {{"Nic, pokud to po změně samo přestane. Pokud trvá, porovnejte nastavení "
       "agenta s textem.",
       "変更後に自然に収まるなら対処は不要です。続く場合は、エージェントの設定"
       "とテキストを比べてください。",
       "Nothing, when it stops by itself after a change. If it goes on, "
       "compare the settings of the agent with the text."}}},
    {"stale-view",
     {{"Uzel je pozadu a načítá novější pohled.",
       "ノードの情報が古く、新しいビューを取得しています。",
       "A node is behind and is fetching the newer view."}},
     {{"Nic, pokud to do několika sekund přestane. Pokud trvá, zkontrolujte "
       "cestu z uzlu k řídicím VM.",
       "数秒で収まるなら対処は不要です。続く場合は、ノードから制御 VM "
       "への経路を確認してください。",
       "Nothing, when it stops within seconds. If it goes on, check the way "
       "from the node to the control VMs."}}},
    {"unreachable",
     {{"Na uvedené adrese nikdo neodpověděl.",
       "指定されたアドレスから応答がありません。",
       "Nobody answered at the addresses given."}},
     {{"Zkontrolujte adresy v --control nebo --node a síť a zkuste to znovu. "
       "Nic se nezměnilo.",
       "--control または --node "
       "のアドレスとネットワークを確認し、再試行してください。何も変更されてい"
       "ません。",
       "Check the addresses given with --control or --node and the network, "
       "then try again. Nothing was changed."}}},
    {"bad-request",
     {{"Volající poslal požadavek, který nelze přečíst; nebyl proveden.",
       "呼び出し元のリクエストを読み取れません。実行されていません。",
       "A caller sent a request that cannot be read; it was not run."}},
     {{"Opravte software volajícího.",
       "呼び出し元のソフトウェアを修正してください。",
       "Correct the caller's software."}}},
    {"unknown-call-kind",
     {{"Volající použil metodu a cestu, které text neuvádí; požadavek nebyl "
       "proveden.",
       "テキストにないメソッドとパスが呼ばれました。リクエストは実行されていま"
       "せん。",
       "A caller asked for a method and path that the text does not list; the "
       "request was not run."}},
     {{"Doplňte volání ke službě v textu, nebo opravte volajícího.",
       "テキストのサービスに呼び出しを追加するか、呼び出し元を修正してください"
       "。",
       "Add the call to the service in the text, or correct the caller."}}},
    {"busy",
     {{"Všechny upstreamy služby nebo řídicí VM jsou vytížené; požadavek nebyl "
       "proveden.",
       "サービスのすべてのアップストリーム、または制御 VM "
       "が混んでいます。リクエストは実行されていません。",
       "All upstreams of the service, or the control VM, are busy; the request "
       "was not run."}},
     {{"Zkuste to později. Pokud to u služby trvá, přidejte cíle nebo sloty.",
       "後で再度実行してください。サービスで続く場合は、ターゲットかスロットを"
       "増やしてください。",
       "Try again later. If it lasts for a service, add targets or slots."}}},
    {"deadline-unmeetable",
     {{"Na požadavek nelze odpovědět do jeho lhůty; nebyl proveden.",
       "期限までに応答できないため、リクエストは実行されていません。",
       "The request cannot be answered before its deadline; it was not run."}},
     {{"Pokud to trvá, přidejte cíle nebo sloty, nebo zvyšte timeout_ms "
       "volání.",
       "続く場合は、ターゲットかスロットを増やすか、呼び出しの timeout_ms "
       "を延ばしてください。",
       "If it lasts, add targets or slots, or raise timeout_ms of the call."}}},
    {"draining",
     {{"Cíl se vyprazdňuje; požadavek na něm nebyl proveden.",
       "ターゲットはドレイン中です。リクエストはそこでは実行されていません。",
       "The target is being drained; the request was not run there."}},
     {{"Nic; volající jsou vedeni k jiným cílům.",
       "対処は不要です。呼び出し元は別のターゲットへ導かれます。",
       "Nothing; callers are led to other targets."}}},
    {"echo-required",
     {{"Volající musí požadavek zopakovat s hodnotou Echo, kterou dostal; "
       "nebyl proveden.",
       "呼び出し元は、送られた Echo "
       "値を付けてリクエストを繰り返す必要があります。実行されていません。",
       "The caller has to repeat the request with the Echo value that it was "
       "sent; it was not run."}},
     {{"Nic; běžní klienti CoAP to udělají sami.",
       "対処は不要です。通常の CoAP クライアントは自動で行います。",
       "Nothing; ordinary CoAP clients do so by themselves."}}},
    {"run-unknown",
     {{"Cíl byl ztracen, když držel požadavek; ten mohl, ale nemusel "
       "proběhnout a znovu se neprovede.",
       "リクエストを保持したままターゲットが失われました。実行された可能性も、"
       "されていない可能性もあり、再実行はされません。",
       "The target was lost while it held the request; it may or may not have "
       "run and is not run again."}},
     {{"Než volající požadavek zopakuje, podívejte se do vlastních záznamů "
       "upstreamu.",
       "呼び出し元が繰り返す前に、アップストリーム自身の記録を確認してください"
       "。",
       "Look in the upstream's own records before the caller repeats it."}}},
    {"valid",
     {{"Text je v pořádku; otisk {digest}.",
       "テキストは有効です。ダイジェスト {digest}。",
       "The text is valid; digest {digest}."}},
     {{"Odešlete ho příkazem apply.", "apply で送信してください。",
       "Submit it with apply."}}},
    {"accepted",
     {{"Natrvalo přijato jako verze {version}, otisk {digest}; ještě neplatí "
       "všude.",
       "バージョン {version}、ダイジェスト {digest} "
       "として確定的に受理されました。まだ全体では有効ではありません。",
       "Accepted for good as version {version}, digest {digest}; not yet in "
       "force everywhere."}},
     {{"Počkejte, až bude platit; status ukáže, na kolika uzlech už je.",
       "有効になるまで待ってください。status "
       "で何ノードに届いたか確認できます。",
       "Wait until it is in force; status shows on how many nodes it is."}}},
    {"in-force",
     {{"Platí: verze {version}, otisk {digest}, na {nodes_in_force} z {nodes} "
       "uzlů.",
       "有効です。バージョン {version}、ダイジェスト {digest}、{nodes} "
       "ノード中 {nodes_in_force} ノード。",
       "In force: version {version}, digest {digest}, on {nodes_in_force} of "
       "{nodes} nodes."}},
     {{"Nic.", "対処は不要です。", "Nothing."}}},
    {"ok",
     {{"Hotovo.", "完了しました。", "Done."}},
     {{"Nic.", "対処は不要です。", "Nothing."}}},
    {"drain-started",
     {{"Cíl nepřijímá novou práci a předává své toky.",
       "ターゲットは新しい処理を受け付けず、フローを引き継いでいます。",
       "The target takes no new work and hands over its flows."}},
     {{"Počkejte, až status cíl přestane uvádět, a pak zastavte jeho VM.",
       "status からターゲットが消えるまで待ち、その後 VM を停止してください。",
       "Wait until status no longer lists the target, then stop its VM."}}},
    {"recoverable",
     {{"Nic se nezměnilo. Tato VM by jako jediný hlasující založila novou "
       "skupinu s textem verze {version}, otisk {digest}; co bylo přijato "
       "později, by se ztratilo.",
       "何も変更していません。この VM "
       "が唯一の投票メンバーとして新しいグループを作り、バージョン "
       "{version}、ダイジェスト {digest} "
       "のテキストから始めます。それより後に受理されたものは失われます。",
       "Nothing was changed. This VM would found a new group as its only "
       "voter, with the text of version {version}, digest {digest}; what was "
       "accepted after it would be lost."}},
     {{"Jen pokud jsou disky většiny hlasujících nenávratně pryč a ostatní "
       "řídicí procesy stojí: zopakujte s --confirm {confirm}.",
       "過半数の投票メンバーのディスクが完全に失われ、ほかの制御プロセスが停止"
       "している場合に限り、--confirm {confirm} を付けて繰り返してください。",
       "Only if the disks of a majority of the voters are gone for good and "
       "the other control processes are stopped: repeat with --confirm "
       "{confirm}."}}},
    {"recovered",
     {{"Nová řídicí skupina je zapsána; tato VM je jejím jediným hlasujícím. "
       "Text má verzi {version}, otisk {digest}.",
       "新しい制御グループを書き込みました。この VM "
       "が唯一の投票メンバーです。テキストはバージョン "
       "{version}、ダイジェスト {digest} です。",
       "A new control group is written; this VM is its only voter. The text "
       "has version {version}, digest {digest}."}},
     {{"Spusťte tuto řídicí VM; pak vyprázdněte složky dřívějších členů a "
       "spusťte je. Příkaz members ukáže, kdy hlasují.",
       "この制御 VM "
       "を起動し、次に以前のメンバーのフォルダを空にして起動してください。投票"
       "に加わったかどうかは members で分かります。",
       "Start this control VM; then empty the folders of the former members "
       "and start them. members shows when they vote."}}},
}};

const answer_row& AnswerOf(error_kind kind) {
  return kAnswerTable.at(static_cast<size_t>(kind));
}

const answer_row& AnswerOf(success_kind kind) {
  return kAnswerTable.at(kErrorTable.size() + static_cast<size_t>(kind));
}

const answer_row* FindAnswer(std::string_view code) {
  const auto* const found =
      std::find_if(kAnswerTable.begin(), kAnswerTable.end(),
                   [code](const answer_row& row) { return row.code == code; });
  return found == kAnswerTable.end() ? nullptr : found;
}

std::string_view CodeOf(success_kind kind) { return AnswerOf(kind).code; }

bool IsSuccess(std::string_view code) {
  const answer_row* row = FindAnswer(code);
  return row != nullptr && row >= &kAnswerTable.at(kErrorTable.size());
}

}  // namespace cardamomroute
