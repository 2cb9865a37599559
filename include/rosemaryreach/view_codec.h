// Serializes an instance's view of the store for its peers.
#ifndef ROSEMARYREACH_VIEW_CODEC_H_
#define ROSEMARYREACH_VIEW_CODEC_H_

#include <string>
#include <string_view>

#include "rosemaryreach/entry_types.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

std::string EncodeView(const store_answer& answer);

// Parses the output of EncodeView(); fails with kUnsupported for other input.
result<store_answer> DecodeView(std::string_view bytes);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_VIEW_CODEC_H_
