// The text of the JSON Schemas in docs/schema/, embedded at build time.
#ifndef ROSEMARYREACH_CONFIG_SCHEMAS_H_
#define ROSEMARYREACH_CONFIG_SCHEMAS_H_

namespace rosemaryreach {

extern const char* const kConfigurationSchema;
extern const char* const kPatchSchema;
extern const char* const kSnapshotSchema;
extern const char* const kSettingsSchema;
extern const char* const kLiveListSchema;
extern const char* const kPageSchema;

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_SCHEMAS_H_
