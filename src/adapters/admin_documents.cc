#include "adapters/admin_documents.h"

namespace rosemaryreach {

using json = nlohmann::json;

json VerdictToJson(const entry_outcome& outcome) {
  json document = {{"sequence", outcome.sequence},
                   {"verdict", VerdictName(outcome.verdict)},
                   {"number", outcome.number},
                   {"author", outcome.author}};
  if (outcome.reason) {
    document["reason"] = {{"error", ErrcName(outcome.reason->code)},
                          {"path", outcome.reason->path},
                          {"detail", outcome.reason->detail}};
  }
  return document;
}

json VerdictsToJson(std::span<const entry_outcome> outcomes) {
  json list = json::array();
  for (const entry_outcome& outcome : outcomes) {
    list.push_back(VerdictToJson(outcome));
  }
  return list;
}

}  // namespace rosemaryreach
