#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/settings_loader.h"
#include "services/dependencies.h"
#include "services/service_text.h"

namespace cardamomroute {
namespace {

namespace fs = std::filesystem;

/// All settings and the text of one folder of examples.
struct site {
  std::vector<settings> processes;
  services_text text;
};

void ReportFaults(const std::vector<error>& faults) {
  for (const error& fault : faults) {
    BOOST_ERROR(Describe(fault));
  }
}

void LoadExample(const fs::path& file, site& loaded) {
  const std::string name = file.filename().string();
  if (name == "services.json") {
    const auto text = ReadTextFile(file.string(), kMaxServicesBytes);
    const auto parsed = ParseServices(name, text.value());
    if (parsed.has_error()) {
      ReportFaults(parsed.error());
      return;
    }
    loaded.text = parsed.value();
    return;
  }
  const auto read = LoadSettings(file.string(), name.substr(0, name.find('-')));
  if (read.has_error()) {
    ReportFaults(read.error());
    return;
  }
  loaded.processes.push_back(read.value());
}

site LoadSite(const std::string& name) {
  site loaded;
  const fs::path folder = fs::path(CARDAMOMROUTE_ROOT) / "examples" / name;
  for (const fs::directory_entry& file : fs::directory_iterator(folder)) {
    LoadExample(file.path(), loaded);
  }
  return loaded;
}

using counts = std::map<std::string, int>;

void CheckSite(const std::string& name, const counts& targets, uint32_t slots) {
  const site loaded = LoadSite(name);
  std::map<process_role, int> roles;
  std::set<std::string> zones;
  std::set<endpoint> addresses;
  counts found;
  for (const settings& process : loaded.processes) {
    ++roles[process.role];
    zones.insert(process.zone);
    if (process.role == process_role::kAgent) {
      ++found[process.agent.service];
      BOOST_TEST(process.agent.slots == slots);
      BOOST_TEST(addresses.insert(process.agent.inner).second);
      BOOST_TEST(loaded.text.Find(process.agent.service) != nullptr);
    }
  }
  BOOST_TEST((found == targets));
  BOOST_TEST(zones.size() == 4U);
  BOOST_TEST(roles[process_role::kControl] == 4);
  BOOST_TEST(roles[process_role::kBalancer] == 4);
}

BOOST_AUTO_TEST_CASE(EveryExampleLoadsAndHasTheSizesOfItsUser) {
  CheckSite("kresba", {{"trade desk", 7}, {"scan intake", 4}}, 2);
  CheckSite("tsukushi", {{"index feed", 7}, {"release service", 4}}, 5);
}

BOOST_AUTO_TEST_CASE(TheExampleOfDependenciesDoesWhatItsNotesSay) {
  const services_text text = LoadSite("dependencies").text;
  const std::vector<std::string> affected = {"ceník", "výměna"};
  BOOST_TEST(Impact(text, "時刻") == affected);
  BOOST_TEST((text.Find("ceník")->calls.at(0).carried_urgency ==
              text_urgency::kCritical));
}

}  // namespace
}  // namespace cardamomroute
