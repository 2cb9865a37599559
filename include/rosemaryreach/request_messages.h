// Protobuf encoding of the messages between request routers.
#ifndef ROSEMARYREACH_REQUEST_MESSAGES_H_
#define ROSEMARYREACH_REQUEST_MESSAGES_H_

#include <string>
#include <string_view>

#include "rosemaryreach/request_types.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Returns `message` serialized as protobuf.
std::string EncodeRequestMessage(const request_message& message);

// Decodes the output of EncodeRequestMessage(). Returns
// errc::kSchemaViolation if it is malformed or of an unknown kind.
result<request_message> DecodeRequestMessage(std::string_view bytes);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_REQUEST_MESSAGES_H_
