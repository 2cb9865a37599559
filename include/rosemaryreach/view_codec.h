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

// Departed targets are a message of their own, so that builds that don't know
// them exchange views as before.
std::string EncodeDeparted(const departed_answer& answer);

// Parses the output of EncodeDeparted(); fails with kUnsupported for other
// input.
result<departed_answer> DecodeDeparted(std::string_view bytes);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_VIEW_CODEC_H_
